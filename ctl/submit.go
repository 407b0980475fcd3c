package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/result"
)

// Submit sends a patch and returns the version that it made. An empty ID is
// filled in. When the outcome is unknown it is sent again under the same id.
func (c *Client) Submit(ctx context.Context, patch config.Patch) (operator.PatchAccepted, error) {
	if patch.ID == "" {
		patch.ID = config.NewPatchID()
	}
	request := call{method: fasthttp.MethodPost, path: operator.PathPatches, body: patch}
	return c.change(ctx, patch.ID, patch.Base, request)
}

// Rollback makes a new version with the declarations of an older one. An empty
// ID is filled in; a Base of zero is read first.
func (c *Client) Rollback(ctx context.Context, rollback operator.RollbackRequest) (operator.PatchAccepted, error) {
	if rollback.ID == "" {
		rollback.ID = config.NewPatchID()
	}
	if rollback.Base == 0 {
		newest, err := c.Config(ctx, 0)
		if err != nil {
			return operator.PatchAccepted{}, err
		}
		rollback.Base = newest.Version
	}
	request := call{method: fasthttp.MethodPost, path: operator.PathRollback, body: rollback}
	return c.change(ctx, rollback.ID, rollback.Base, request)
}

// change sends a request that changes the configuration until its outcome is
// settled or the attempts are used up. Once one send may have taken effect,
// only an answer that settles the patch id ends the sending: a later "nothing
// was changed" tells of that later send alone.
func (c *Client) change(ctx context.Context, id string, base config.Version, request call) (operator.PatchAccepted, error) {
	var accepted operator.PatchAccepted
	var failures []error
	unknown := false
	routers := c.options.Routers
	attempts := max(c.options.Attempts, len(routers))
	for attempt := range attempts {
		err := c.send(ctx, routers[attempt%len(routers)], request, &accepted)
		if err == nil {
			return accepted, nil
		}
		failures = append(failures, err)
		unknown = unknown || mayHaveTakenEffect(err)
		if settles(err) {
			return operator.PatchAccepted{}, err
		}
		if !unknown && (!triesNext(err) || attempt+1 == len(routers)) {
			break
		}
		if unknown && attempt+1 < attempts && !pause(ctx, c.options.RetryEvery) {
			break
		}
	}
	if unknown {
		return operator.PatchAccepted{}, outcomeUnknown(id, base, failures)
	}
	return operator.PatchAccepted{}, nothingDone(failures)
}

// mayHaveTakenEffect reports whether a send that ended with err may have
// changed the configuration.
func mayHaveTakenEffect(err error) bool {
	var transport *transportError
	if errors.As(err, &transport) {
		return transport.sent()
	}
	code := resultCode(err)
	return code == result.CommitUnknown || code.Info().Ran == result.RanUnknown
}

// settles reports whether err holds for every send under the same id: the
// router looked the id up and the patch cannot be accepted any more.
func settles(err error) bool {
	switch resultCode(err) {
	case result.VersionConflict, result.InvalidPatch, result.InvalidDeclaration:
		return true
	default:
		return false
	}
}

func outcomeUnknown(id string, base config.Version, failures []error) *Error {
	e := &Error{
		Exit:    ExitUnknown,
		Code:    result.CommitUnknown,
		Summary: fmt.Sprintf("patch %s against version %d may have been accepted", id, base),
		Next:    fmt.Sprintf("send the same command again with --id %s --base %d; it takes effect once at most", id, base),
		Cause:   errors.Join(failures...),
	}
	e.Details = append(e.Details, failures[len(failures)-1].Error())
	return e
}

// pause waits for d. It returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
