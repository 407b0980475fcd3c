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
func (r *Router) targetNoticed(req *targets.Request, said notice.Notice) {
	snapshot := r.InForce()
	if snapshot == nil {
		return
	}
	name := req.Target
	if name == "" {
		name = targetAt(snapshot, req.Address)
	}
	listed, known := snapshot.Declarations.Targets[name]
	if !known {
		return
	}
	if r.notices.add(r.loop.instant(time.Now()), name, listed.Start, said) || said.HoldOff > 0 {
		r.loop.post(control.TargetNoticed{Target: name, Start: listed.Start, Notice: said})
	}
}

// targetAt returns the name of the target at an address; empty if there is none. Few answers
// say anything of their targets, so there is no index.
func targetAt(snapshot *config.Snapshot, address string) string {
	for name, target := range snapshot.Declarations.Targets {
		if target.Address == address {
			return name
		}
	}
	return ""
}
