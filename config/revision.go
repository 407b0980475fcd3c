package config

import "fmt"

// Revision orders the data that the platform's store publishes. A store restored from an older
// copy reuses values of its counter, in a new era, so a revision combines era and counter.
// It is one number with the era in the upper bits, so that the two cannot be compared
// separately. Zero is older than any other. Platforms that report no era always have era 0.
type Revision uint64

const (
	// counterBits is the number of bits for the store's counter, enough for five years at
	// 100,000 changes a second. The era has the other 20.
	counterBits = 44
	maxCounter  = 1<<counterBits - 1
	// MaxEra is the largest era that a revision can hold.
	MaxEra = 1<<(64-counterBits) - 1
)

// NewRevision returns the revision for a counter value in an era. A counter that exceeds its
// bits is clamped to the maximum; overflowing into the era would make it a later one.
func NewRevision(era, counter uint64) Revision {
	return Revision(min(era, MaxEra)<<counterBits | min(counter, maxCounter))
}

// Era is the number of times that the store was restored from an older copy.
func (r Revision) Era() uint64 { return uint64(r) >> counterBits }

// Counter is the value of the store's counter within the era.
func (r Revision) Counter() uint64 { return uint64(r) & maxCounter }

// String returns "era/counter", or the counter alone in era 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Counter())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Counter())
}
