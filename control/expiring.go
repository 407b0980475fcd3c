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
func (s *expiringSet) add(now Instant, key any, ttl time.Duration) {
	s.expire(now)
	until := now + ttl
	if s.until[key] >= until {
		return
	}
	s.until[key] = until
	s.order = append(s.order, expiringKey{key, until})
}

// has reports whether a key is in the set and has not expired.
func (s *expiringSet) has(now Instant, key any) bool {
	until, ok := s.until[key]
	return ok && now < until
}

// expire removes expired keys. Keys are only approximately ordered by time, so some stay a
// little longer.
func (s *expiringSet) expire(now Instant) {
	for len(s.order) > 0 && s.order[0].until <= now {
		first := s.order[0]
		if s.until[first.key] <= now {
			delete(s.until, first.key)
		}
		s.order = s.order[1:]
	}
}
