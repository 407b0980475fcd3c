package host

import (
	"strings"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/targets"
)

// Faults is the full set of faults in force; the zero value means none.
type Faults struct {
	// Poison crashes the target when a request whose body contains it starts.
	Poison string `json:"poison,omitempty"`
	// DowntimeMillis is how long a crashed target refuses connections.
	// Default 500.
	DowntimeMillis int `json:"downtime_ms,omitempty"`
	// SlowFactor multiplies the time of every step or run. Zero means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LieLoad is reported in place of the true load.
	LieLoad *targets.Load `json:"lie_load,omitempty"`
	// Leaving is announced in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// Refuse answers 503 with Walnut-Not-Run before running.
	Refuse bool `json:"refuse,omitempty"`
	// BreakAfterTokens cuts the connection after so many tokens (a service
	// counts its answer's bytes). Zero means never.
	BreakAfterTokens int `json:"break_after_tokens,omitempty"`
	// Hang starts the request and never answers.
	Hang bool `json:"hang,omitempty"`
	// HangAfterTokens stops the stream after so many tokens, with the
	// connection open. Zero means never.
	HangAfterTokens int `json:"hang_after_tokens,omitempty"`
	// Times limits Refuse, Break and Hang to so many requests. Zero means all.
	Times int `json:"times,omitempty"`
}

// defaultDowntime is how long a crashed target refuses connections.
const defaultDowntime = 500 * time.Millisecond

// Downtime returns how long a crash lasts.
func (f Faults) Downtime() time.Duration {
	if f.DowntimeMillis <= 0 {
		return defaultDowntime
	}
	return time.Duration(f.DowntimeMillis) * time.Millisecond
}

// Slow multiplies d by the slow factor.
func (f Faults) Slow(d time.Duration) time.Duration {
	if f.SlowFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowFactor)
}

// Poisoned says whether the body crashes the target.
func (f Faults) Poisoned(body string) bool {
	return f.Poison != "" && strings.Contains(body, f.Poison)
}

// perRequest says whether any fault that Times limits is set.
func (f Faults) perRequest() bool {
	return f.Refuse || f.Hang || f.BreakAfterTokens > 0 || f.HangAfterTokens > 0
}

// withoutPerRequest clears the faults that Times limits.
func (f Faults) withoutPerRequest() Faults {
	f.Refuse = false
	f.Hang = false
	f.BreakAfterTokens = 0
	f.HangAfterTokens = 0
	f.Times = 0
	return f
}

// faultState guards the faults in force.
type faultState struct {
	mu     sync.Mutex
	faults Faults
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// take returns the faults for one request and uses up one of Times.
func (s *faultState) take() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.faults
	if !taken.perRequest() || taken.Times == 0 {
		return taken
	}
	s.faults.Times--
	if s.faults.Times == 0 {
		s.faults = s.faults.withoutPerRequest()
	}
	return taken
}
