package front

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

// reservationMargin is how much longer than Options.ReadTimeout bytes stay reserved
// for a body that has not arrived before other requests may use them.
const reservationMargin = time.Second

// bodyReservation is the decision made about a request with a body when its headers
// have been read: why it is refused, or the bytes reserved for its body.
type bodyReservation struct {
	refusal *result.Error

	owner     *bodyReservations
	number    uint64
	workspace string
	bytes     int64
	expiresAt time.Time // when the bytes are freed if the request has not arrived
	claimed   bool      // the request has arrived
}

// bodyReservations limits the bytes of request bodies that this process holds, from
// the time their headers are read to the end of their exchanges. It is safe for
// concurrent use.
type bodyReservations struct {
	*byteBudget
	timeout time.Duration

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]*bodyReservation
	// byExpiry holds the reservations in the order in which they were made, which is
	// the order in which they expire.
	byExpiry []*bodyReservation
}

func newBodyReservations(max int64, timeout time.Duration) *bodyReservations {
	return &bodyReservations{
		byteBudget: newByteBudget(max),
		timeout:    timeout,
		pending:    make(map[uint64]*bodyReservation),
	}
}

// reserve reserves bytes for a body and returns the reservation's number. It
// reports false if there is no room; see byteBudget.
func (b *bodyReservations) reserve(workspace string, bytes int64, now time.Time) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	if !b.byteBudget.reserve(workspace, bytes) {
		return 0, false
	}
	return b.register(&bodyReservation{owner: b, workspace: workspace, bytes: bytes}, now), true
}

// recordRefusal records why a request is refused after its headers were read, and returns
// the number of the record.
func (b *bodyReservations) recordRefusal(refusal *result.Error, now time.Time) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	return b.register(&bodyReservation{owner: b, refusal: refusal}, now)
}

// register numbers a reservation and sets its expiry. The caller holds b.mu.
func (b *bodyReservations) register(reservation *bodyReservation, now time.Time) uint64 {
	b.lastNumber++
	reservation.number = b.lastNumber
	reservation.expiresAt = now.Add(b.timeout)
	b.pending[reservation.number] = reservation
	b.byExpiry = append(b.byExpiry, reservation)
	return reservation.number
}

// expire frees the bytes reserved for bodies that did not arrive in time. The
// caller holds b.mu.
func (b *bodyReservations) expire(now time.Time) {
	for len(b.byExpiry) > 0 && (b.byExpiry[0].claimed || now.After(b.byExpiry[0].expiresAt)) {
		first := b.byExpiry[0]
		b.byExpiry = b.byExpiry[1:]
		if !first.claimed {
			delete(b.pending, first.number)
			b.shrinkLocked(first, 0)
		}
	}
}

// claim returns a pending reservation once; nil if it has been claimed or has expired.
func (b *bodyReservations) claim(number uint64) *bodyReservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	reservation := b.pending[number]
	if reservation == nil {
		return nil
	}
	delete(b.pending, number)
	reservation.claimed = true
	return reservation
}

// shrinkTo releases all but the given bytes. It does nothing for a nil reservation.
func (r *bodyReservation) shrinkTo(bytes int64) {
	if r == nil || r.owner == nil {
		return
	}
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	r.owner.shrinkLocked(r, bytes)
}

// shrinkLocked is shrinkTo for callers that hold b.mu.
func (b *bodyReservations) shrinkLocked(reservation *bodyReservation, size int64) {
	excess := reservation.bytes - size
	if excess <= 0 {
		return
	}
	reservation.bytes = size
	b.release(reservation.workspace, excess)
}
