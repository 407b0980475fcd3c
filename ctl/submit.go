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
// filled in. While the outcome is unknown, the patch is sent again with the same id.
func (c *Client) Submit(ctx context.Context, patch config.Patch) (operator.PatchAccepted, error) {
	if patch.ID == "" {
		patch.ID = config.NewPatchID()
	}
	request := apiRequest{method: fasthttp.MethodPost, path: operator.PathPatches, body: patch}
	return c.sendChange(ctx, patch.ID, patch.Base, request)
}

// Rollback makes a new version with the declarations of an older one. An empty
// ID is filled in; a Base of zero is replaced by the newest version.
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
	request := apiRequest{method: fasthttp.MethodPost, path: operator.PathRollback, body: rollback}
	return c.sendChange(ctx, rollback.ID, rollback.Base, request)
}

// sendChange sends a request that changes the configuration until its outcome is
// certain or the attempts are used up. Once a send may have taken effect, only an
// answer that is final for the patch id ends the loop: a later "nothing was
// changed" is about that later send alone.
func (c *Client) sendChange(ctx context.Context, id string, base config.Version, request apiRequest) (operator.PatchAccepted, error) {
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
		if isFinal(err) {
			return operator.PatchAccepted{}, err
		}
		if !unknown && (!shouldTryNext(err) || attempt+1 == len(routers)) {
			break
		}
		if unknown && attempt+1 < attempts && !pause(ctx, c.options.RetryEvery) {
			break
		}
	}
	if unknown {
		return operator.PatchAccepted{}, outcomeUnknown(id, base, failures)
	}
	return operator.PatchAccepted{}, allFailed(failures)
}

// mayHaveTakenEffect reports whether a send that ended with err may have
// changed the configuration.
func mayHaveTakenEffect(err error) bool {
	var transport *transportError
	if errors.As(err, &transport) {
		return transport.mayBeSent()
	}
	code := resultCode(err)
	return code == result.CommitUnknown || code.Info().Ran == result.RanUnknown
}

// isFinal reports whether err applies to every send with the same id: the
// router looked the id up, and the patch can no longer be accepted.
func isFinal(err error) bool {
	switch resultCode(err) {
	case result.VersionConflict, result.InvalidPatch, result.InvalidDeclaration:
		return true
	default:
		return false
	}
}

// outcomeUnknown returns the error of a patch that may have been accepted.
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

// pause waits for d. It returns false if ctx ends first.
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
