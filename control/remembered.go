package control

import "time"

// expiringSet is a set of keys that each expire after a time.
type expiringSet struct {
	until map[any]Instant
	order []expiringKey
}

type expiringKey struct {
	key   any
	until Instant
}

func newExpiringSet() expiringSet {
	return expiringSet{until: make(map[any]Instant)}
}

// add adds a key; a later expiry that is already set stays.
func (r *expiringSet) add(now Instant, key any, ttl time.Duration) {
	r.expire(now)
	until := now + ttl
	if r.until[key] >= until {
		return
	}
	r.until[key] = until
	r.order = append(r.order, expiringKey{key, until})
}

// has reports whether a key is in the set and has not expired.
func (r *expiringSet) has(now Instant, key any) bool {
	until, ok := r.until[key]
	return ok && now < until
}

// expire removes expired keys. Keys are only approximately ordered by time, so some stay a
// little longer.
func (r *expiringSet) expire(now Instant) {
	for len(r.order) > 0 && r.order[0].until <= now {
		first := r.order[0]
		if r.until[first.key] <= now {
			delete(r.until, first.key)
		}
		r.order = r.order[1:]
	}
}
