package platform

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/walnutcove/walnutcove/store"
)

// Outage is what the stand-in does with every call during an outage.
type Outage string

// The kinds of outage.
const (
	// OutageNone: there is no outage, and calls are served.
	OutageNone Outage = ""
	// OutageRefuse: calls are answered with 503 and not applied.
	OutageRefuse Outage = "refuse"
	// OutageDrop: the connection is closed before the call is applied.
	OutageDrop Outage = "drop"
	// OutageHang: calls get no answer. When the outage ends, their connections are
	// closed and the calls are not applied.
	OutageHang Outage = "hang"
	// OutageFreeze: calls get no answer during the outage. When it ends they are
	// applied, whether or not their callers still wait.
	OutageFreeze Outage = "freeze"
)

// LoseAllReplies is the value of Faults.LoseReplies that loses every reply.
const LoseAllReplies = -1

// Table names that denote the object store and the weight store in the journal and
// in Faults.LoseTablePrefix.
const (
	ObjectsTable = "_objects"
	WeightsTable = "_weights"
)

// Faults are the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	Outage Outage `json:"outage"`
	// DelayMillis delays each call before it is applied.
	DelayMillis int `json:"delay_ms"`
	// ReplyDelayMillis delays each reply after the call is applied.
	ReplyDelayMillis int `json:"reply_delay_ms"`
	// LoseReplies is how many of the next replies to applied writes are lost.
	// LoseAllReplies (-1) loses them all.
	LoseReplies int `json:"lose_replies"`
	// LoseTablePrefix limits LoseReplies to writes to tables with this prefix.
	LoseTablePrefix string `json:"lose_table_prefix"`
	// VMLagMillis is how old the list of VMs is that readers get.
	VMLagMillis int `json:"vm_lag_ms"`
	// ReadOnly refuses every write.
	ReadOnly bool `json:"read_only"`
	// WritesPerSecond, RowsPerSecond and ReadsPerSecond limit the rate of write
	// calls, rows written, and reads; calls over a limit are refused. Zero means no
	// limit. Each limit allows a burst of one second.
	WritesPerSecond float64 `json:"writes_per_second"`
	RowsPerSecond   float64 `json:"rows_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

// validate returns store.ErrInvalid if a fault has an unknown or negative value.
func (f Faults) validate() error {
	switch f.Outage {
	case OutageNone, OutageRefuse, OutageDrop, OutageHang, OutageFreeze:
	default:
		return fmt.Errorf("%w: unknown outage %q", store.ErrInvalid, f.Outage)
	}
	if f.DelayMillis < 0 || f.ReplyDelayMillis < 0 || f.VMLagMillis < 0 || f.LoseReplies < LoseAllReplies {
		return fmt.Errorf("%w: negative fault", store.ErrInvalid)
	}
	if f.WritesPerSecond < 0 || f.RowsPerSecond < 0 || f.ReadsPerSecond < 0 {
		return fmt.Errorf("%w: negative limit", store.ErrInvalid)
	}
	return nil
}

// faultState holds the faults in force and wakes the calls that wait for a change
// of them.
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

// update applies edit to the faults in force and returns the new ones. If edit fails
// or its outcome is invalid, the faults stay as they are.
func (s *faultState) update(edit func(*Faults) error) (Faults, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if err := edit(&faults); err != nil {
		return s.faults, err
	}
	if err := faults.validate(); err != nil {
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

// allowRead reports whether the rate limits allow one more read.
func (s *faultState) allowRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.allow(1)
}

// allowWrite reports whether the rate limits allow one more write of that many rows.
func (s *faultState) allowWrite(rows int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes.allow(1) && s.rows.allow(rows)
}

// loseReply reports whether the reply to a write to these tables is to be lost, and
// counts LoseReplies down if so.
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

// limiter is a rate limiter that is off while its rate is zero.
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

// SetFaults replaces the faults in force. It refuses invalid ones with
// store.ErrInvalid.
func (s *Server) SetFaults(faults Faults) error {
	_, err := s.updateFaults(func(f *Faults) error {
		*f = faults
		return nil
	})
	return err
}

// Faults returns the faults in force. LoseReplies is the number of replies that
// remain to be lost.
func (s *Server) Faults() Faults {
	faults, _ := s.faults.get()
	return faults
}

func (s *Server) updateFaults(edit func(*Faults) error) (Faults, error) {
	faults, err := s.faults.update(edit)
	if err == nil {
		s.store.SetVMLag(time.Duration(faults.VMLagMillis) * time.Millisecond)
	}
	return faults, err
}
