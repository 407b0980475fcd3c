package platform

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/store"
)

// Paths of the control endpoints. Faults do not affect them.
const (
	pathFault   = "/_fault"
	pathJournal = "/_journal"
	pathVMs     = "/_vms"
	pathMetrics = "/metrics"
)

// journalPageSize is the page size of /_journal if the request sets no limit.
const journalPageSize = 1000

// serveControl serves the control endpoints. It reports false if the path is not
// one of them.
func (s *Server) serveControl(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case pathFault:
		s.faultControl(ctx)
	case pathJournal:
		s.journalControl(ctx)
	case pathVMs:
		s.vmsControl(ctx)
	case pathMetrics:
		s.metrics.WritePrometheus(ctx)
	default:
		return false
	}
	return true
}

// faultControl answers with the faults in force. POST changes those faults that its
// body names; DELETE ends every fault.
func (s *Server) faultControl(ctx *fasthttp.RequestCtx) {
	faults := s.Faults()
	var err error
	switch {
	case ctx.IsPost():
		faults, err = s.updateFaults(func(f *Faults) error { return decode(ctx.PostBody(), f) })
	case ctx.IsDelete():
		faults, err = s.updateFaults(func(f *Faults) error {
			*f = Faults{}
			return nil
		})
	case !ctx.IsGet():
		err = methodError(ctx)
	}
	if err != nil {
		replyError(ctx, err)
		return
	}
	reply(ctx, faults)
}

func (s *Server) journalControl(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after, err := optionalUint(args, "after", 0)
	if err != nil {
		replyError(ctx, err)
		return
	}
	limit, err := optionalUint(args, "limit", journalPageSize)
	if err != nil {
		replyError(ctx, err)
		return
	}
	reply(ctx, s.Journal(uint64(after), limit))
}

// vmsControl replaces the list of VMs (POST) or answers with the list that readers
// get (GET).
func (s *Server) vmsControl(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		s.listVMs(ctx)
		return
	}
	var request store.VMsReply
	if err := decode(ctx.PostBody(), &request); err != nil {
		replyError(ctx, err)
		return
	}
	s.store.SetVMs(request.VMs)
	reply(ctx, request)
}

func optionalUint(args *fasthttp.Args, name string, defaultValue int) (int, error) {
	if !args.Has(name) {
		return defaultValue, nil
	}
	value, err := args.GetUint(name)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %w", store.ErrInvalid, name, err)
	}
	return value, nil
}

func methodError(ctx *fasthttp.RequestCtx) error {
	return fmt.Errorf("%w: the path does not take %s", store.ErrInvalid, ctx.Method())
}

// reply answers with a JSON body.
func reply(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}
