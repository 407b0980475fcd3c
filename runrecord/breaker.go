package runrecord

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

const (
	// breakerFailures is how many claims in a row must fail before claims are
	// refused without asking the table.
	breakerFailures = 3
	// breakerPause is how long they are refused before one is tried again.
	breakerPause = 500 * time.Millisecond
)

// breaker refuses claims at once while the table is down, so that callers do
// not wait for its timeout one by one. The zero value is closed.
type breaker struct {
	mu       sync.Mutex
	failures int
	retryAt  control.Instant
}

// allow says whether a claim may ask the table. While the breaker is open it
// allows one claim per pause.
func (b *breaker) allow(now control.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return true
	}
	if now < b.retryAt {
		return false
	}
	b.retryAt = now + breakerPause
	return true
}

// succeeded closes the breaker.
func (b *breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
}

// failed counts a failure and opens the breaker after the last allowed one.
func (b *breaker) failed(now control.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.failures == breakerFailures {
		b.retryAt = now + breakerPause
	}
}
