package router

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	standin "github.com/walnutcove/walnutcove/standin/managed"
	"github.com/walnutcove/walnutcove/standin/rawhttp"
)

// TestBadHeadsAreNotOffloadedAnswers guards against heads that HTTP does not allow and that reach callers as answers when
// another router serves their requests.
func TestBadHeadsAreNotOffloadedAnswers(t *testing.T) {
	t.Parallel()
	const fields = "\r\n" + wire.HeaderSeal + ": raw\r\n" + wire.HeaderRequestID + ": ID\r\n"
	for name, text := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK" + fields + "Content-Length: 2\r\n\r\nno",
		"blank in a name": "HTTP/1.1 200 OK" + fields + "X Odd: v\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			f := startOffloadFleet(t)
			var asked atomic.Int64
			address := rawhttp.Start(t, rawhttp.Answer(func(request *http.Request) string {
				id := request.Header.Get(wire.HeaderRequestID)
				if id != "" {
					asked.Add(1)
				}
				return strings.ReplaceAll(text, "ID", id)
			}))
			f.store.Put(wire.TableReplicas, "broken", wire.Replica{
				Service: standin.DemoService, Address: address, Zone: standin.DefaultZone, Software: standin.DefaultSoftware,
				Slots: 8, State: wire.StateReady, StartedAt: time.Now().UnixMilli(),
			})
			f.eventually("the replica is known", func() bool {
				_, known := f.large.InForce().Declarations.Targets["broken"]
				return known
			})
			for until := time.Now().Add(testDeadline); asked.Load() < 3; {
				if time.Now().After(until) {
					t.Fatal("too few requests reached the replica")
				}
				got := f.sendUntilServed(pathRun)
				if whole := got.Status == http.StatusOK && got.Body == standin.ExpectedAnswer(got.ID); !whole && got.Status != http.StatusBadGateway {
					t.Errorf("status %d, body %q", got.Status, got.Body)
				}
			}
		})
	}
}
