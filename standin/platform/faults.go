package platform

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/walnutcove/walnutcove/store"
)

// Outage says what the stand-in does with every call while it is out.
type Outage string

// The kinds of outage.
const (
	// OutageNone: calls are served.
	OutageNone Outage = ""
	// OutageRefuse: calls are answered 503 before they are applied.
	OutageRefuse Outage = "refuse"
	// OutageDrop: connections are cut before the call is applied.
	OutageDrop Outage = "drop"
	// OutageHang: calls get no answer; they are dropped when the outage ends.
	OutageHang Outage = "hang"
	// OutageFreeze: calls get no answer; they are applied, late, when the
	// outage ends, whether or not their callers still wait.
	OutageFreeze Outage = "freeze"
)

// LoseAll is the value of Faults.LoseReplies that loses every reply.
const LoseAll = -1

// The table names that stand for the object store and the weight store in the
// journal and in Faults.LoseTablePrefix.
const (
	ObjectsTable = "_objects"
	WeightsTable = "_weights"
)

// Faults are the switches of the stand-in. The zero value has no fault.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMillis delays each call before it is applied.
	DelayMillis int `json:"delay_ms"`
	// ReplyDelayMillis delays each reply after the call was applied.
	ReplyDelayMillis int `json:"reply_delay_ms"`
	// LoseReplies is how many of the next replies to writes that took effect
	// are lost; LoseAll (-1) loses them all.
	LoseReplies int `json:"lose_replies"`
	// LoseTablePrefix narrows LoseReplies to writes of tables with this prefix.
	LoseTablePrefix string `json:"lose_table_prefix"`
	// VMLagMillis is the age of the list of VMs that readers get.
	VMLagMillis int `json:"vm_lag_ms"`
	// ReadOnly refuses every write.
	ReadOnly bool `json:"read_only"`
	// WritesPerSecond, RowsPerSecond and ReadsPerSecond refuse what is over
	// the limit: commits and object writes, rows written, and reads. Zero
	// means no limit. Each allows a burst of one second.
	WritesPerSecond float64 `json:"writes_per_second"`
	RowsPerSecond   float64 `json:"rows_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// check returns store.ErrInvalid if a switch has a value without meaning.
func (f Faults) check() error {
	switch f.Outage {
	case OutageNone, OutageRefuse, OutageDrop, OutageHang, OutageFreeze:
	default:
		return fmt.Errorf("%w: unknown outage %q", store.ErrInvalid, f.Outage)
	}
	if f.DelayMillis < 0 || f.ReplyDelayMillis < 0 || f.VMLagMillis < 0 || f.LoseReplies < LoseAll {
		return fmt.Errorf("%w: negative fault", store.ErrInvalid)
	}
	if f.WritesPerSecond < 0 || f.RowsPerSecond < 0 || f.ReadsPerSecond < 0 {
		return fmt.Errorf("%w: negative limit", store.ErrInvalid)
	}
	return nil
}

// faultState holds the faults in force and wakes the calls that wait for a change.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced at every change
	writes  limiter
	rows    limiter
	reads   limiter
}

func newFaultState() *faultState {
	return &faultState{changed: make(chan struct{})}
}

func (s *faultState) get() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// update applies change to the faults in force and returns the new ones.
func (s *faultState) update(change func(*Faults) error) (Faults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if err := change(&faults); err != nil {
		return s.faults, err
	}
	if err := faults.check(); err != nil {
		return s.faults, err
	}
	s.faults = faults
	s.writes.set(faults.WritesPerSecond, 1)
	s.rows.set(faults.RowsPerSecond, store.MaxCommitOps)
	s.reads.set(faults.ReadsPerSecond, 1)
	close(s.changed)
	s.changed = make(chan struct{})
	return faults, nil
}

// allowRead and allowWrite take from the limits in force.
func (s *faultState) allowRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.allow(1)
}

func (s *faultState) allowWrite(rows int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes.allow(1) && s.rows.allow(rows)
}

// loseReply says whether the reply to a write of these tables is to be lost.
func (s *faultState) loseReply(tables []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies == 0 || !anyHasPrefix(tables, s.faults.LoseTablePrefix) {
		return false
	}
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
	}
	return true
}

func anyHasPrefix(names []string, prefix string) bool {
	for _, name := range names {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// limiter is a rate limit that can be off.
type limiter struct {
	perSecond float64
	bucket    *rate.Limiter
}

func (l *limiter) set(perSecond float64, minBurst int) {
	if perSecond == l.perSecond {
		return
	}
	l.perSecond = perSecond
	l.bucket = rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), minBurst))
}

func (l *limiter) allow(n int) bool {
	return l.perSecond == 0 || l.bucket.AllowN(time.Now(), n)
}

// SetFaults replaces the faults in force. Invalid faults are refused.
func (s *Server) SetFaults(faults Faults) error {
	_, err := s.updateFaults(func(f *Faults) error {
		*f = faults
		return nil
	})
	return err
}

// Faults returns the faults in force; LoseReplies has counted down.
func (s *Server) Faults() Faults {
	faults, _ := s.faults.get()
	return faults
}

func (s *Server) updateFaults(change func(*Faults) error) (Faults, error) {
	faults, err := s.faults.update(change)
	if err == nil {
		s.store.SetVMLag(time.Duration(faults.VMLagMillis) * time.Millisecond)
	}
	return faults, err
}
