package quarantine

import "time"

// completionInterval is the least time between two announcements that the same
// fingerprint ran to completion, and between two of its completions that are recorded.
const completionInterval = time.Second

// completions holds the latest runs to completion, oldest first, up to a limit.
type completions struct {
	limit         int
	byFingerprint map[uint64]*completion
	order         []*completion
}

type completion struct {
	fingerprint uint64
	at          Instant
	announced   bool
	announcedAt Instant
}

func newCompletions(limit int) completions {
	return completions{limit: limit, byFingerprint: make(map[uint64]*completion)}
}

// add records a completion unless one later or less than completionInterval earlier is
// known.
func (c *completions) add(fingerprint uint64, at Instant) {
	if last, ok := c.byFingerprint[fingerprint]; ok && at < last.at+completionInterval {
		return
	}
	added := &completion{fingerprint: fingerprint, at: at}
	c.byFingerprint[fingerprint] = added
	c.order = append(c.order, added)
	for len(c.order) > c.limit {
		c.dropOldest()
	}
}

// after returns the known completion of a fingerprint if it came after the given time.
func (c *completions) after(fingerprint uint64, at Instant) *completion {
	if last, ok := c.byFingerprint[fingerprint]; ok && last.at > at {
		return last
	}
	return nil
}

// expire removes completions before a time.
func (c *completions) expire(before Instant) {
	for len(c.order) > 0 && c.order[0].at < before {
		c.dropOldest()
	}
}

func (c *completions) dropOldest() {
	oldest := c.order[0]
	c.order = c.order[1:]
	if c.byFingerprint[oldest.fingerprint] == oldest {
		delete(c.byFingerprint, oldest.fingerprint)
	}
}

// announce adds a notice of the completion to out, unless it was announced less than
// completionInterval ago: the same evidence reaches a router from several others.
func (c *completion) announce(now Instant, out *Output) {
	if c.announced && now-c.announcedAt < completionInterval {
		return
	}
	c.announced = true
	c.announcedAt = now
	out.Notices = append(out.Notices, Notice{Kind: NoticeClearance, Fingerprint: c.fingerprint, Age: now - c.at})
}
