package router

import (
	"time"

	"github.com/walnutcove/walnutcove/filters/authenticate"
	"github.com/walnutcove/walnutcove/filters/classify"
	"github.com/walnutcove/walnutcove/filters/dispatch"
	"github.com/walnutcove/walnutcove/filters/grant"
	"github.com/walnutcove/walnutcove/filters/quarantine"
	"github.com/walnutcove/walnutcove/filters/ready"
	"github.com/walnutcove/walnutcove/filters/relay"
	"github.com/walnutcove/walnutcove/filters/requestlog"
	"github.com/walnutcove/walnutcove/filters/retry"
	"github.com/walnutcove/walnutcove/filters/runrecord"
	"github.com/walnutcove/walnutcove/pipeline"
)

// pipeline chains the filters in the order in which requests pass them.
func (r *Router) pipeline(keys *authenticate.Filter) pipeline.Handler {
	limits := r.settings.Limits
	answerRelay := &relay.Relay{Client: r.targets, Request: dispatch.Request, Log: r.log}
	return pipeline.Chain(
		requestlog.New(r.log, r.InForce),
		ready.New(r),
		keys,
		classify.New(classify.Options{DefaultDeadline: time.Duration(limits.DefaultDeadline)}),
		&quarantine.Filter{Set: &r.quarantineSet},
		&runrecord.Filter{Manager: r.records},
		retry.New(r.log),
		&grant.Filter{Source: &grantSource{loop: r.loop, inForce: r.InForce, notices: &r.notices}, Log: r.log},
		&dispatch.Filter{
			Client:           r.targets,
			Relay:            answerRelay.Answer,
			FirstByteTimeout: time.Duration(limits.FirstByteTimeout),
			Log:              r.log,
		},
	)
}
