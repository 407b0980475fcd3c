package operator

import (
	"bytes"
	"context"
	"runtime/pprof"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// defaultProfileSeconds and maxProfileSeconds bound a processor profile.
	defaultProfileSeconds = 5
	maxProfileSeconds     = 15
)

// cpuProfile answers with a processor profile of the next seconds, as the
// "go tool pprof" command reads it. One profile is taken at a time.
func (s *Server) cpuProfile(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	seconds, err := numberArg(req, "seconds", defaultProfileSeconds)
	if err != nil {
		return nil, err
	}
	var profile bytes.Buffer
	if err := pprof.StartCPUProfile(&profile); err != nil {
		return nil, err
	}
	defer pprof.StopCPUProfile()
	select {
	case <-time.After(time.Duration(min(seconds, maxProfileSeconds)) * time.Second):
	case <-ctx.Done():
	}
	pprof.StopCPUProfile()
	answerProfile(req, profile.Bytes())
	return nil, nil
}

// heapProfile answers with a profile of the memory in use.
func (s *Server) heapProfile(_ context.Context, req *fasthttp.RequestCtx) (any, error) {
	var profile bytes.Buffer
	if err := pprof.Lookup("heap").WriteTo(&profile, 0); err != nil {
		return nil, err
	}
	answerProfile(req, profile.Bytes())
	return nil, nil
}

func answerProfile(req *fasthttp.RequestCtx, profile []byte) {
	req.SetContentType("application/octet-stream")
	req.SetBody(profile)
}
