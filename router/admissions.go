package router

import (
	"sync/atomic"
	"time"
)

const (
	// maxServedPerCore is a rate of requests per second that no core can serve: each takes over 0.3 ms.
	maxServedPerCore = 3300
	// admissionWindow is the time for which unused admissions are kept: until the lag is measured.
	admissionWindow = lagInterval
)

// admissionBound bounds the requests on new connections that are accepted between two measurements of
// the lag. Without it a router accepts the first moments of a flood whole, which takes it many times as
// long to serve. A nil bound accepts everything.
//
// It is safe for concurrent use, apart from refill.
type admissionBound struct {
	// perSecond is the sustained rate, and capacity how many requests may be accepted at once.
	perSecond, capacity float64
	left                atomic.Int64
	// rest is the part of an admission that the last refill left over.
	rest float64
}

// newAdmissionBound returns the bound of a router of the given size; nil if it is not known.
func newAdmissionBound(cores float64) *admissionBound {
	if cores <= 0 {
		return nil
	}
	b := &admissionBound{perSecond: maxServedPerCore * cores}
	b.capacity = b.perSecond * admissionWindow.Seconds()
	b.left.Store(int64(b.capacity))
	return b
}

// exhausted reports whether no further request may be accepted until the next refill.
func (b *admissionBound) exhausted() bool { return b != nil && b.left.Load() <= 0 }

// note counts a request that was accepted.
func (b *admissionBound) note() {
	if b != nil {
		b.left.Add(-1)
	}
}

// refill adds the admissions of the time since the last call. Requests that are exempt from shedding may use
// more than there are; at most one capacity is owed.
func (b *admissionBound) refill(elapsed time.Duration) {
	if b == nil {
		return
	}
	added := b.rest + min(b.perSecond*elapsed.Seconds(), b.capacity)
	b.rest = added - float64(int64(added))
	left, most := b.left.Add(int64(added)), int64(b.capacity)
	b.left.Add(min(max(left, -most), most) - left)
}
