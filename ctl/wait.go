package ctl

import (
	"context"
	"fmt"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/result"
)

// Wait waits until every router of the platform's list has version, or a newer
// one, in force. It returns the number of routers. If ctx ends first, the error
// names the routers that are missing.
func (c *Client) Wait(ctx context.Context, version config.Version) (int, error) {
	var last operator.Status
	var lastErr error
	for {
		status, err := c.Status(ctx, false)
		if resultCode(err) == result.OperatorKeyWrong {
			return 0, err
		}
		if err == nil {
			last, lastErr = status, nil
		} else if ctx.Err() == nil {
			lastErr = err
		}
		missing := missingRouters(status, version)
		if err == nil && len(status.Routers) > 0 && len(missing) == 0 {
			return len(status.Routers), nil
		}
		if !pause(ctx, c.options.PollEvery) {
			return 0, waitTimeout(version, last, lastErr)
		}
	}
}

// missingRouters returns the listed routers that do not have version or a newer one in force.
func missingRouters(status operator.Status, version config.Version) []operator.RouterStatus {
	var missing []operator.RouterStatus
	for _, router := range status.Routers {
		if router.Listed && router.Version < version {
			missing = append(missing, router)
		}
	}
	return missing
}

// waitTimeout returns the error of a wait that ended before the version was in force
// everywhere. It names the routers that were missing in the last status.
func waitTimeout(version config.Version, last operator.Status, lastErr error) *Error {
	e := &Error{
		Exit:    ExitWaitTimeout,
		Code:    result.WaitTimeout,
		Summary: fmt.Sprintf("version %d was accepted but is not yet in force on every listed router", version),
		Next:    "it will spread without further action; look at the routers named above and run walnutctl status",
		Cause:   lastErr,
	}
	for _, router := range missingRouters(last, version) {
		e.Details = append(e.Details, missingLine(router))
	}
	if len(last.Routers) == 0 {
		e.Details = append(e.Details, "no router reported the fleet's state")
	}
	if lastErr != nil {
		e.Details = append(e.Details, "last answer: "+lastErr.Error())
	}
	return e
}

func missingLine(router operator.RouterStatus) string {
	line := fmt.Sprintf("missing: %s data_centre=%s state=%s", router.Node, router.DataCentre, router.State)
	if router.State != operator.RouterUnreachable {
		line += fmt.Sprintf(" version=%d", router.Version)
	}
	if router.Leaving {
		line += " leaving"
	}
	if router.Error != "" {
		line += fmt.Sprintf(" error=%q", router.Error)
	}
	return line
}
