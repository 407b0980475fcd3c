package router

import (
	"fmt"
	"syscall"
	"time"
)

// unsentReasons are the results of walnut_offload_requests_total that leave a request to be refused
// by this router.
var unsentReasons = []string{"no_allowance", "limited", "accepted_late", "crowded", "full", "stalled", "ended", "too_large"}

// shedState describes the load of this process while it refuses requests, since the last call of
// attributes: whether its processor time is used up, and why requests were not offloaded.
type shedState struct {
	overload *overload
	// source is nil if offloading is off.
	source  *offloadSource
	at      time.Time
	cpuTime time.Duration
	unsent  map[string]uint64
}

func newShedState(overload *overload, source *offloadSource) *shedState {
	s := &shedState{overload: overload, source: source, unsent: make(map[string]uint64)}
	s.attributes()
	return s
}

// attributes returns the attributes of a log line.
func (s *shedState) attributes() []any {
	now, cpuTime := time.Now(), processCPUTime()
	cores := (cpuTime - s.cpuTime).Seconds() / max(now.Sub(s.at).Seconds(), time.Millisecond.Seconds())
	s.at, s.cpuTime = now, cpuTime
	attributes := []any{"lag", s.overload.currentLag(), "mean_shed", s.overload.meanShedProbability(false), "cores_used", cores}
	if s.source == nil {
		return attributes
	}
	return append(attributes, "links", s.source.linkCount(), "not_offloaded", s.takeUnsent())
}

// takeUnsent returns how many requests were not offloaded, for each reason. Routers that share a process
// share these counts.
func (s *shedState) takeUnsent() []string {
	var unsent []string
	for _, reason := range unsentReasons {
		total := offloadRequests(reason).Get()
		if count := total - s.unsent[reason]; count > 0 {
			unsent = append(unsent, fmt.Sprintf("%s:%d", reason, count))
		}
		s.unsent[reason] = total
	}
	return unsent
}

// processCPUTime returns the processor time that this process has used, or 0 if it is not known.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
