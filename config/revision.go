package config

import "fmt"

// Revision orders what the platform's store publishes. A store that comes back from an older
// copy gives its counter's values out again, in a new era, so a revision is the pair of both.
// It is one number, the era in the upper bits, so that the halves cannot be compared apart.
// Zero is older than any other. Platforms that tell no era have era 0 throughout.
type Revision uint64

const (
	// counterBits is how many bits the store's counter has: five years at 100,000 changes a
	// second. The era has the other 20.
	counterBits = 44
	maxCounter  = 1<<counterBits - 1
	// MaxEra is the largest era that a revision can hold.
	MaxEra = 1<<(64-counterBits) - 1
)

// NewRevision returns the revision of a counter's value in an era. A counter beyond its bits
// counts as the largest, as an era would be taken for a later one otherwise.
func NewRevision(era, counter uint64) Revision {
	return Revision(min(era, MaxEra)<<counterBits | min(counter, maxCounter))
}

// Era counts the returns of the store from an older copy.
func (r Revision) Era() uint64 { return uint64(r) >> counterBits }

// Counter is the store's counter within the era.
func (r Revision) Counter() uint64 { return uint64(r) & maxCounter }

// String returns "era/counter", or the counter alone where there is no era.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Counter())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Counter())
}
