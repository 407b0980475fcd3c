package host

import (
	"strings"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/targets"
)

// Faults is the set of faults that a stand-in target injects. The zero value
// injects none.
type Faults struct {
	// Poison, if set, crashes the target when a request whose body contains this
	// text starts.
	Poison string `json:"poison,omitempty"`
	// DowntimeMillis is how long a crashed target refuses connections, in
	// milliseconds. Default 500.
	DowntimeMillis int `json:"downtime_ms,omitempty"`
	// SlowFactor multiplies the duration of every step or run. Zero means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// FalseLoad, if set, is reported in place of the true load.
	FalseLoad *targets.Load `json:"lie_load,omitempty"`
	// Leaving makes the load report announce that the target is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Refuse answers 503 with Walnut-Not-Run without running the request.
	Refuse bool `json:"refuse,omitempty"`
	// BreakAfterTokens closes the connection after this many tokens of the answer;
	// a service counts bytes instead. Zero means never.
	BreakAfterTokens int `json:"break_after_tokens,omitempty"`
	// Hang starts the request but never answers it.
	Hang bool `json:"hang,omitempty"`
	// HangAfterTokens stops the stream after this many tokens and leaves the
	// connection open. Zero means never.
	HangAfterTokens int `json:"hang_after_tokens,omitempty"`
	// Times limits Refuse, BreakAfterTokens, Hang and HangAfterTokens to this many
	// requests. Zero means all requests.
	Times int `json:"times,omitempty"`
}

// defaultDowntime is how long a crashed target refuses connections unless
// DowntimeMillis is set.
const defaultDowntime = 500 * time.Millisecond

// Downtime returns how long a crashed target refuses connections.
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

// Poisoned reports whether a request with this body crashes the target.
func (f Faults) Poisoned(body string) bool {
	return f.Poison != "" && strings.Contains(body, f.Poison)
}

// hasPerRequest reports whether any of the faults that Times limits is set.
func (f Faults) hasPerRequest() bool {
	return f.Refuse || f.Hang || f.BreakAfterTokens > 0 || f.HangAfterTokens > 0
}

// withoutPerRequest returns the faults without those that Times limits.
func (f Faults) withoutPerRequest() Faults {
	f.Refuse = false
	f.Hang = false
	f.BreakAfterTokens = 0
	f.HangAfterTokens = 0
	f.Times = 0
	return f
}

// faultState holds the faults in force and guards them with a mutex.
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

// take returns the faults to inject into one request and counts Times down. When
// Times reaches zero, it ends the faults that Times limits.
func (s *faultState) take() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.faults
	if !taken.hasPerRequest() || taken.Times == 0 {
		return taken
	}
	s.faults.Times--
	if s.faults.Times == 0 {
		s.faults = s.faults.withoutPerRequest()
	}
	return taken
}
