package managedtest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

// TestBodiesWithoutEndEndAtTheirLimit guards against bodies without end that callers of non-idempotent
// requests get past the limit of the route, and that take all slots of a service for good.
func TestBodiesWithoutEndEndAtTheirLimit(t *testing.T) {
	const (
		// maxLateEnd is how long after its limit a request may last on the managed platform.
		maxLateEnd = 500 * time.Millisecond

		head  = "HTTP/1.1 200 OK\r\n" + wire.HeaderSeal + ": endless\r\n" + wire.HeaderRequestID + ": ID\r\n"
		chunk = "8\r\nxxxxxxxx\r\n"
	)
	for name, replica := range map[string]*endlessReplica{
		"fast":               {head: head + "Transfer-Encoding: chunked\r\n\r\n", part: chunk, pause: 4 * time.Millisecond, slowBytes: 64 << 10},
		"slow":               {head: head + "Transfer-Encoding: chunked\r\n\r\n", part: chunk, pause: 20 * time.Millisecond},
		"slow events":        {head: head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", part: "9\r\ndata: x\n\n\r\n", pause: 20 * time.Millisecond},
		"fast, until closed": {head: head + "\r\n", part: "xxxxxxxx", pause: 4 * time.Millisecond, slowBytes: 64 << 10},
	} {
		for _, limit := range []struct {
			name            string
			deadline, route time.Duration
		}{
			{"deadline of the caller", shortLimit, longLimit},
			{"limit of the route", longLimit, shortLimit},
		} {
			t.Run(fmt.Sprintf("%s, %s", name, limit.name), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, 1)
				r := &endlessReplica{head: replica.head, part: replica.part, pause: replica.pause, slowBytes: replica.slowBytes}
				f.startEndlessReplica("ops", r)
				f.publishConfig(func(c *wire.Config) {
					for n := range c.Routes {
						c.Routes[n].Timeout = float64(limit.route.Milliseconds())
					}
				})
				f.awaitVersion()
				f.eventually(testTimeout, "the replica is known", func() bool {
					_, known := f.routers[0].InForce().Declarations.Targets["endless-ops"]
					return known
				})
				f.caller.Deadline = limit.deadline
				var callers sync.WaitGroup
				for range 4 {
					callers.Go(func() {
						sent := time.Now()
						got := f.send(f.routers[0], pathNonIdempotent)
						if took := time.Since(sent); got.Status == http.StatusOK && got.Complete || took > shortLimit+maxLateEnd {
							t.Errorf("status %d after %s, complete %v", got.Status, took, got.Complete)
						}
					})
				}
				callers.Wait()
				f.eventually(testTimeout, "the replica's slots are free", func() bool { return r.open.Load() == 0 })
				f.addReplica(opsReplica("sound-ops"))
				f.eventually(testTimeout, "the service is served", func() bool {
					got := f.send(f.routers[0], pathNonIdempotent)
					return got.Status == http.StatusOK && got.Body == managed.ExpectedAnswer(got.ID)
				})
			})
		}
	}
}
