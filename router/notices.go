package router

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/notice"
	"github.com/walnutcove/walnutcove/targets"
)

// notices keeps what targets said of themselves in answers to this router, for the last look
// before a request is sent: control learns of it by an event, and has granted by then. It is
// safe for concurrent use.
type notices struct {
	mu  sync.RWMutex
	set notice.Set
}

// add takes in a notice and returns whether the target was not known to leave and is now.
func (n *notices) add(now time.Duration, target string, start int64, said notice.Notice) (leaves bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.set.Add(now, target, start, said)
}

// isWithheld says whether a start of a target wants no request from this router.
func (n *notices) isWithheld(now time.Duration, target string, start int64) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.set.IsWithheld(now, target, start)
}

// prune forgets the notices of starts that have ended.
func (n *notices) prune(now time.Duration, listed map[string]config.Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.set.Prune(now, func(target string) (start int64, declared bool) {
		found, declared := listed[target]
		return found.Start, declared
	})
}

// targetNoticed takes in what an answer said of its target. It is called before the answer is
// passed on.
func (r *Router) targetNoticed(target string, start int64, said notice.Notice) {
	if r.notices.add(r.loop.instant(time.Now()), target, start, said) || said.HoldOff > 0 {
		r.loop.post(control.TargetNoticeReceived{Target: target, Start: start, Notice: said})
	}
}

// listing is the targets of a configuration, nil if there is none, as the client of targets
// knows them.
type listing struct{ *config.Snapshot }

// targetListing returns the targets in force.
func (r *Router) targetListing() targets.Listing { return listing{r.InForce()} }

// TargetOf implements targets.Listing. A request that names no target, as polls do, goes to the
// one at its address. Few answers say anything of their targets, so there is no index.
func (l listing) TargetOf(req *targets.Request) (name string, start int64, listed bool) {
	if l.Snapshot == nil {
		return "", 0, false
	}
	if req.Target != "" {
		found, listed := l.Declarations.Targets[req.Target]
		return req.Target, found.Start, listed
	}
	for name, found := range l.Declarations.Targets {
		if found.Address == req.Address {
			return name, found.Start, true
		}
	}
	return "", 0, false
}
