package router

import (
	"context"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/filters/detach"
	"github.com/walnutcove/walnutcove/filters/dispatch"
	"github.com/walnutcove/walnutcove/filters/events"
	"github.com/walnutcove/walnutcove/filters/grant"
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

// routedPipeline strings the filters together for a configuration with routes.
// At-most-once needs no run records there: each attempt of a caller has an id of
// its own, and is sent again only if it surely did not run.
func (r *Router) routedPipeline() pipeline.Handler {
	limits := r.settings.Limits
	retries := retry.NewWindowed(r.log, r.retryRules)
	slots := &grant.Filter{Source: &grants{loop: r.loop, inForce: r.InForce, notices: &r.notices}, Log: r.log}
	answers := &answers{
		events: &events.Relay{Lag: r.overload.late, Log: r.log},
		whole:  &relay.Relay{Client: r.targets, Request: dispatch.Request, Log: r.log},
	}
	answers.events.Reopen = r.reopener(slots, retries)
	return pipeline.Chain(
		requestlog.New(r.log),
		ready.New(serving{r}),
		route.New(route.Options{
			Source:          r,
			Dialect:         r.dialect(),
			DefaultDeadline: time.Duration(limits.DefaultDeadline),
			Lag:             r.overload.late,
		}),
		detach.New(r.log),
		&quarantine.Filter{Set: &r.suspects},
		retries,
		slots,
		r.dispatcher(answers.take),
	)
}

// safePart is the part of the fleet's retry budget that routers use: members come
// and go, and each counts the others with a delay.
const safePart = 0.8

// retryRules is this router's part of the fleet's retry budget: what requests earn
// counts where they entered, the slack is shared alike.
func (r *Router) retryRules() retry.Limits {
	limits := r.retries.Load()
	members := max(1, r.members.Load())
	return retry.Limits{
		Ratio:  safePart * limits.Ratio,
		Slack:  safePart * limits.Slack / float64(members),
		Window: time.Duration(limits.Window),
	}
}

// serving is the state of a router that takes requests until it is closed: one
// that leaves says so to the balancer, and serves what still arrives.
type serving struct{ *Router }

// Draining implements ready.State.
func (serving) Draining() bool { return false }

// Ready implements ready.State. The route filter refuses what comes too early.
func (serving) Ready() bool { return true }

func (r *Router) dispatcher(take func(context.Context, *pipeline.Exchange, *targets.Response) error) *dispatch.Filter {
	return &dispatch.Filter{
		Client:           r.targets,
		Relay:            take,
		FirstByteTimeout: time.Duration(r.settings.Limits.FirstByteTimeout),
		Lag:              r.overload.late,
		Log:              r.log,
	}
}

// answers hands answers to the relay for their kind.
type answers struct {
	events *events.Relay
	whole  *relay.Relay
}

func (a *answers) take(ctx context.Context, ex *pipeline.Exchange, answer *targets.Response) error {
	if ex.Route.Kind == config.RouteStream && answer.Status < firstFailure {
		return a.events.Answer(ctx, ex, answer)
	}
	if err := a.whole.Answer(ctx, ex, answer); err != nil {
		return err
	}
	return retry.CheckAnswer(ex)
}

// firstFailure is the first HTTP status of an answer that is no success.
const firstFailure = 300

// reopener returns how broken streams go on: with a slot of another target and
// out of the retry budget.
func (r *Router) reopener(slots *grant.Filter, retries *retry.Filter) events.Reopen {
	return func(ctx context.Context, ex *pipeline.Exchange) (*targets.Response, error) {
		if ex.Attempt >= ex.Route.Attempts {
			return nil, result.New(result.StreamBroken, "The request has used up its attempts.")
		}
		if !retries.TakeRetry(ex) {
			return nil, result.New(result.RetryBudgetEmpty, "Too many other requests are being retried.")
		}
		ex.Attempt++
		ex.Excluded = append(ex.Excluded, ex.Target)
		var answer *targets.Response
		keep := func(_ context.Context, ex *pipeline.Exchange, got *targets.Response) error {
			if got.Status >= firstFailure {
				got.Body.Close()
				return result.New(result.StreamBroken, "The other target failed with status %d.", got.Status)
			}
			answer = got
			return nil
		}
		err := pipeline.Chain(slots, r.dispatcher(keep))(ctx, ex)
		return answer, err
	}
}
