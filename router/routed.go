package router

import (
	"context"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/filters/affinity"
	"github.com/walnutcove/walnutcove/filters/detach"
	"github.com/walnutcove/walnutcove/filters/dispatch"
	"github.com/walnutcove/walnutcove/filters/events"
	"github.com/walnutcove/walnutcove/filters/grant"
	"github.com/walnutcove/walnutcove/filters/hedge"
	"github.com/walnutcove/walnutcove/filters/quarantine"
	"github.com/walnutcove/walnutcove/filters/ready"
	"github.com/walnutcove/walnutcove/filters/relay"
	"github.com/walnutcove/walnutcove/filters/requestlog"
	"github.com/walnutcove/walnutcove/filters/retry"
	"github.com/walnutcove/walnutcove/filters/route"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
	"github.com/walnutcove/walnutcove/targets"
)

// routedPipeline chains the filters for a configuration with routes. It needs no run
// records to run requests at most once: each attempt of a caller has an id of its own,
// and is sent again only if it certainly did not run.
func (r *Router) routedPipeline() pipeline.Handler {
	limits := r.settings.Limits
	retries := retry.NewWindowed(r.log, r.retryLimits)
	grantFilter := &grant.Filter{Source: &grantSource{loop: r.loop, inForce: r.InForce, notices: &r.notices}, Log: r.log}
	answers := &answerRelays{
		events: &events.Relay{Began: affinitySource{r.loop}.record, Lag: r.overload.currentLag, Log: r.log},
		whole:  &relay.Relay{Client: r.targets, Request: dispatch.Request, Log: r.log},
	}
	openOther := r.otherTargetOpener(grantFilter, retries)
	answers.events.Reopen = openOther
	dispatcher := r.dispatcher(answers.relay)
	dispatcher.Hedge = openOther
	return pipeline.Chain(
		requestlog.New(r.log, r.InForce),
		ready.New(alwaysServing{r}),
		route.New(route.Options{
			Source:          r,
			Dialect:         r.dialect(),
			DefaultDeadline: time.Duration(limits.DefaultDeadline),
			Lag:             r.overload.currentLag,
			IsBehind:        r.directory.IsBehind,
		}),
		detach.New(r.log),
		&quarantine.Filter{Set: &r.quarantineSet},
		&affinity.Filter{Source: affinitySource{r.loop}, Log: r.log},
		retries,
		grantFilter,
		dispatcher,
	)
}

// retryLimits returns this router's part of the fleet's retry budget.
func (r *Router) retryLimits() retry.Limits {
	limits := r.retries.Load()
	fleet := retry.Limits{Ratio: limits.Ratio, Slack: limits.Slack, Window: time.Duration(limits.Window)}
	return fleet.Share(r.fleet.count())
}

// alwaysServing is the state of a router that accepts requests until it is closed: a
// leaving router asks the balancer for no new connections, and serves the requests that
// still arrive.
type alwaysServing struct{ *Router }

// Draining implements ready.State.
func (alwaysServing) Draining() bool { return false }

// Ready implements ready.State. The route filter refuses requests that arrive before a
// configuration is in force.
func (alwaysServing) Ready() bool { return true }

// dispatcher returns a dispatch filter that passes answers to relayAnswer.
func (r *Router) dispatcher(relayAnswer func(context.Context, *pipeline.Exchange, *targets.Response) error) *dispatch.Filter {
	return &dispatch.Filter{
		Client:           r.targets,
		Relay:            relayAnswer,
		FirstByteTimeout: time.Duration(r.settings.Limits.FirstByteTimeout),
		Lag:              r.overload.currentLag,
		Log:              r.log,
	}
}

// answerRelays passes answers to the relay for their kind: events for successful answers
// on stream routes, whole for all others.
type answerRelays struct {
	events *events.Relay
	whole  *relay.Relay
}

func (a *answerRelays) relay(ctx context.Context, ex *pipeline.Exchange, answer *targets.Response) error {
	if ex.Route.Kind == config.RouteStream && answer.Status < minFailureStatus {
		return a.events.Answer(ctx, ex, answer)
	}
	if err := a.whole.Answer(ctx, ex, answer); err != nil {
		return err
	}
	return retry.CheckAnswer(ex)
}

const (
	// minFailureStatus is the lowest HTTP status that is not a success.
	minFailureStatus = 300
	// minServerErrorStatus is the lowest HTTP status that means that the target failed.
	minServerErrorStatus = 500
)

// otherTargetOpener returns the function that sends a request to another target while the first one is
// silent, or after it broke off: on a slot of its own, charged to the retry budget.
func (r *Router) otherTargetOpener(grantFilter *grant.Filter, retries *retry.Filter) hedge.Opener {
	return func(ctx context.Context, attempt *pipeline.Exchange) (*targets.Response, error) {
		if attempt.EarlierRuns >= attempt.Route.Attempts {
			return nil, result.New(result.StreamBroken, "The request has used up its attempts.")
		}
		if err := retries.CheckRetry(attempt); err != nil {
			return nil, err
		}
		attempt.BeforeDispatch = append(attempt.BeforeDispatch[:len(attempt.BeforeDispatch):len(attempt.BeforeDispatch)],
			func() error { return retries.TakeRetry(attempt) })
		var answer *targets.Response
		captureAnswer := func(_ context.Context, _ *pipeline.Exchange, received *targets.Response) error {
			if isFailure(attempt.Route, received.Status) {
				received.Body.Close()
				attempt.Run.End(control.OutcomeFailed)
				return result.New(result.StreamBroken, "The other target failed with status %d.", received.Status)
			}
			answer = received
			return nil
		}
		err := pipeline.Chain(grantFilter, r.dispatcher(captureAnswer))(ctx, attempt)
		return answer, err
	}
}

// isFailure reports whether a target's answer with a status is of no use to a request that has another
// target.
func isFailure(route *config.NamedRoute, status int) bool {
	if route.Kind == config.RouteStream {
		return status >= minFailureStatus
	}
	return status >= minServerErrorStatus
}
