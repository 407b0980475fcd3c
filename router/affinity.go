package router

import (
	"context"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/affinity"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// affinitySource asks the control goroutine where streams began. It implements the Source of
// the filter affinity.
type affinitySource struct{ loop *loop }

// Find implements the Source of the filter affinity.
func (s affinitySource) Find(ctx context.Context, ex *pipeline.Exchange) (control.AffinityFound, *result.Error) {
	wanted := control.AffinityWanted{Request: control.RequestID(ex.Sequence), Named: ex.ResumedRequest != "", Pool: ex.PoolName}
	if wanted.Named {
		wanted.Key = affinity.KeyOf(ex.WorkspaceName, ex.ResumedRequest)
	} else {
		wanted.Key = affinity.KeyOf(ex.WorkspaceName, ex.ID) // spreads the questions over the routers
	}
	answer := make(chan control.AffinityFound, 1)
	if !s.loop.postEvent(postedEvent{event: wanted, lookup: answer}) {
		return control.AffinityFound{}, result.New(result.Draining, "The router has stopped.")
	}
	select {
	case found := <-answer:
		return found, nil
	case <-ex.CallerGone:
		return control.AffinityFound{}, result.New(result.CallerGone, "The caller went away.")
	case <-ctx.Done():
		return control.AffinityFound{}, result.New(result.DeadlineBeforeGrant, "The deadline passed before it was known which software version began the stream.")
	case <-s.loop.done:
		return control.AffinityFound{}, result.New(result.Draining, "The router has stopped.")
	}
}

// record records where the stream of an exchange began. A request that
// reconnects to a stream refreshes its record, and may be named in place of the first one.
func (s affinitySource) record(ex *pipeline.Exchange) {
	keys := []affinity.Key{affinity.KeyOf(ex.WorkspaceName, ex.ID)}
	if ex.ResumedRequest != "" {
		keys = append(keys, affinity.KeyOf(ex.WorkspaceName, ex.ResumedRequest))
	}
	s.loop.post(control.StreamBegan{Keys: keys, Affinity: affinity.Affinity{Pool: ex.PoolName, Software: ex.TargetSoftware}})
}
