package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/dialect"
)

// TestAcceptDelayGrowsWhileConnectionsWait guards against a router that accepts seconds late but
// takes itself to run in time, and against a delay that outlasts the queue.
func TestAcceptDelayGrowsWhileConnectionsWait(t *testing.T) {
	var b acceptBacklog
	start := time.Now()
	if delay := b.measure(start, true); delay != 0 {
		t.Errorf("the first measurement is a delay of %v", delay)
	}
	if delay := b.measure(start.Add(80*time.Millisecond), true); delay != 80*time.Millisecond {
		t.Errorf("a queue that is not empty for 80 ms is a delay of %v", delay)
	}
	if delay := b.measure(start.Add(90*time.Millisecond), false); delay != 0 {
		t.Errorf("an empty queue is a delay of %v", delay)
	}
}

// TestAcceptedLateIsRefusedNotOffered guards against copying responses while refusals, which are
// cheaper, are needed to empty the queue of connections.
func TestAcceptedLateIsRefusedNotOffered(t *testing.T) {
	onBothPaths(t, func(t *testing.T, fast bool) {
		s := startSource(t, Options{})
		s.backlog.delay.Store(int64(2 * maxOfferDelay))
		s.call(fast, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
		s.awaitIdle()
		if sent := len(s.sender.sent); sent != 0 {
			t.Errorf("%d requests were offered", sent)
		}
	})
}

// TestRequestThatWaitedIsOffered guards against a busy router that passes nothing to routers with time to
// spare while connections wait to be accepted, although their callers still wait too.
func TestRequestThatWaitedIsOffered(t *testing.T) {
	withDeadline := *dialect.Own
	withDeadline.Deadline = "X-Deadline-Ms"
	for _, c := range []struct {
		delay, deadline time.Duration
		offered         int
	}{
		{600 * time.Millisecond, 8 * time.Second, 1},
		{600 * time.Millisecond, 2500 * time.Millisecond, 1},
		{600 * time.Millisecond, time.Second, 0},
	} {
		onBothPaths(t, func(t *testing.T, fast bool) {
			s := startSource(t, Options{Dialect: &withDeadline})
			s.backlog.delay.Store(int64(c.delay))
			s.call(fast, fmt.Sprintf("GET /a HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: %d\r\n\r\n", c.deadline.Milliseconds()))
			for deadline := time.Now().Add(time.Second); len(s.sender.sent) < c.offered && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			if c.offered == 0 {
				s.awaitIdle()
			}
			if sent := len(s.sender.sent); sent != c.offered {
				t.Errorf("waited %s of %s: offered %d times, want %d", c.delay, c.deadline, sent, c.offered)
			}
		})
	}
}

// TestCallerThatLeftIsNotOffered guards against sending requests to executors whose callers gave
// up while the requests waited to be accepted.
func TestCallerThatLeftIsNotOffered(t *testing.T) {
	s := startSource(t, Options{})
	address := s.refuserAddress()
	conn, _ := s.sendTo(address, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	conn.Close()
	time.Sleep(20 * time.Millisecond) // the close arrives
	s.refuser.refuseWaiting()
	if sent := len(s.sender.sent); sent != 0 {
		t.Errorf("%d requests were offered", sent)
	}
	if refused := s.refused.Load(); refused != 0 {
		t.Errorf("%d callers that left were counted as refused", refused)
	}
}

// TestAcceptDelayEndsWhenTheQueueIsDrained guards against a router that takes itself for seconds late because
// connections happen to wait at each measurement, although it accepts all of them in between.
func TestAcceptDelayEndsWhenTheQueueIsDrained(t *testing.T) {
	var b acceptBacklog
	start := time.Now()
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += 10 * time.Millisecond {
		now := start.Add(elapsed)
		if delay := b.measure(now, true); delay > 10*time.Millisecond {
			t.Fatalf("after %s: delay %s", elapsed, delay)
		}
		b.noteDrained(now.Add(9 * time.Millisecond))
	}
	if delay := b.measure(start.Add(2*time.Second), true); delay < time.Second {
		t.Errorf("delay %s of connections that wait on", delay)
	}
}
