package front

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

// arrivalMargin is how much longer than Options.ReadTimeout a body may be
// expected before its bytes are given to others.
const arrivalMargin = time.Second

// arrival is what was decided about a request when its headers were in: why it
// is refused, or the bytes that are set aside for its body.
type arrival struct {
	refusal *result.Error

	from      *arrivals
	number    uint64
	workspace string
	bytes     int64
	until     time.Time // when it is no longer expected
	taken     bool      // the request has arrived
}

// arrivals bounds the bytes of bodies that this process holds, from their
// announcement to the end of their exchanges. It is safe for concurrent use.
type arrivals struct {
	max     int64
	timeout time.Duration

	mu          sync.Mutex
	total       int64
	byWorkspace map[string]int64
	last        uint64
	expected    map[uint64]*arrival
	// order holds arrivals as they were announced, which is as they expire.
	order []*arrival
}

func newArrivals(max int64, timeout time.Duration) *arrivals {
	return &arrivals{
		max:         max,
		timeout:     timeout,
		byWorkspace: make(map[string]int64),
		expected:    make(map[uint64]*arrival),
	}
}

// announce sets bytes aside for a body and returns the arrival's number. It
// reports false if there is no room: a workspace may hold as much as is left
// free, so that one alone gets half and there is always room for another.
func (a *arrivals) announce(workspace string, bytes int64, now time.Time) (uint64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	mine := a.byWorkspace[workspace]
	if mine+bytes > a.max-a.total {
		return 0, false
	}
	a.total += bytes
	a.byWorkspace[workspace] = mine + bytes
	return a.expect(&arrival{from: a, workspace: workspace, bytes: bytes}, now), true
}

// refuse notes why a request is refused whose headers are in, and returns the
// arrival's number.
func (a *arrivals) refuse(refusal *result.Error, now time.Time) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	return a.expect(&arrival{from: a, refusal: refusal}, now)
}

// expect needs a.mu.
func (a *arrivals) expect(one *arrival, now time.Time) uint64 {
	a.last++
	one.number = a.last
	one.until = now.Add(a.timeout)
	a.expected[one.number] = one
	a.order = append(a.order, one)
	return one.number
}

// expire frees the bytes of bodies that never arrived. It needs a.mu.
func (a *arrivals) expire(now time.Time) {
	for len(a.order) > 0 && (a.order[0].taken || now.After(a.order[0].until)) {
		first := a.order[0]
		a.order = a.order[1:]
		if !first.taken {
			delete(a.expected, first.number)
			a.free(first, 0)
		}
	}
}

// take returns an expected arrival, once; nil if it is not expected any more.
func (a *arrivals) take(number uint64) *arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	one := a.expected[number]
	if one == nil {
		return nil
	}
	delete(a.expected, number)
	one.taken = true
	return one
}

// keep gives back what is over the given bytes. A nil arrival has none.
func (one *arrival) keep(bytes int64) {
	if one == nil || one.from == nil {
		return
	}
	one.from.mu.Lock()
	defer one.from.mu.Unlock()
	one.from.free(one, bytes)
}

// free needs a.mu.
func (a *arrivals) free(one *arrival, keep int64) {
	excess := one.bytes - keep
	if excess <= 0 {
		return
	}
	one.bytes = keep
	a.total -= excess
	a.byWorkspace[one.workspace] -= excess
	if a.byWorkspace[one.workspace] == 0 {
		delete(a.byWorkspace, one.workspace)
	}
}

// held returns the bytes set aside.
func (a *arrivals) held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}
