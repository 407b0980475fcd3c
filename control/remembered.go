package control

import "time"

// remembered is a set of keys that are each kept for a while.
type remembered struct {
	until map[any]Instant
	order []rememberedKey
}

type rememberedKey struct {
	key   any
	until Instant
}

func newRemembered() remembered {
	return remembered{until: make(map[any]Instant)}
}

// add remembers a key; a longer time that is already set stays.
func (r *remembered) add(now Instant, key any, keep time.Duration) {
	r.expire(now)
	until := now + keep
	if r.until[key] >= until {
		return
	}
	r.until[key] = until
	r.order = append(r.order, rememberedKey{key, until})
}

// has says whether a key is remembered.
func (r *remembered) has(now Instant, key any) bool {
	until, ok := r.until[key]
	return ok && now < until
}

// expire drops old keys. They are only nearly in order of time, so some stay a
// little longer.
func (r *remembered) expire(now Instant) {
	for len(r.order) > 0 && r.order[0].until <= now {
		first := r.order[0]
		if r.until[first.key] <= now {
			delete(r.until, first.key)
		}
		r.order = r.order[1:]
	}
}
