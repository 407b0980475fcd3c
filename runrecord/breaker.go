package runrecord

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

const (
	// breakerThreshold is the number of consecutive failed claims after which
	// claims are refused without a call to the table.
	breakerThreshold = 3
	// breakerRetryInterval is how long claims are refused before one is tried again.
	breakerRetryInterval = 500 * time.Millisecond
)

// breaker is a circuit breaker that refuses claims immediately while the table
// is unavailable, so that callers do not each wait for the timeout. The zero
// value is closed.
type breaker struct {
	mu                  sync.Mutex
	consecutiveFailures int
	retryAt             control.Instant
}

// allow reports whether a claim may call the table. While the breaker is open,
// it allows one claim per breakerRetryInterval.
func (b *breaker) allow(now control.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consecutiveFailures < breakerThreshold {
		return true
	}
	if now < b.retryAt {
		return false
	}
	b.retryAt = now + breakerRetryInterval
	return true
}

// recordSuccess closes the breaker.
func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consecutiveFailures = 0
}

// recordFailure counts a failure and opens the breaker at breakerThreshold.
func (b *breaker) recordFailure(now control.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consecutiveFailures++
	if b.consecutiveFailures == breakerThreshold {
		b.retryAt = now + breakerRetryInterval
	}
}
