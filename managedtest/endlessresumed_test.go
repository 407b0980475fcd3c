package managedtest

import (
	"fmt"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// TestBytesWithoutEndDoNotHoldUpResumedStreams guards against streams that end, or last until their
// callers' deadlines, where targets continue a broken stream with bytes without end.
func TestBytesWithoutEndDoNotHoldUpResumedStreams(t *testing.T) {
	const (
		success = "HTTP/1.1 200 OK\r\n" + wire.HeaderSeal + ": endless\r\n" + wire.HeaderRequestID + ": ID\r\n"
		stream  = success + "Content-Type: text/event-stream\r\n\r\n"
	)
	cases := map[string]*endlessReplica{
		"headers":  {head: success, part: "X-More: of it\r\n"},
		"one line": {head: stream, part: "xxxxxxxxxxxxxxxx"},
		"comments": {head: stream, part: ": ping\n\n"},
	}
	for name, replica := range cases {
		for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, pause %s", name, pause), func(t *testing.T) {
				t.Parallel()
				breaking := genReplica("breaks")
				breaking.BreakAfterEvents = 3
				f := startSettledFleet(t, unlimitedSlack, 1, breaking, genReplica("sound"))
				r := &endlessReplica{head: replica.head, part: replica.part, pause: pause, slowBytes: 1}
				f.startNamedEndlessReplica("endless-1", "gen", r)
				f.startNamedEndlessReplica("endless-2", "gen", r)
				f.eventually(testTimeout, "the replicas are known", func() bool {
					return len(f.routers[0].InForce().Declarations.Targets) == 4
				})
				f.publishConfig(func(c *wire.Config) {
					for n := range c.Routes {
						c.Routes[n].Attempts = 4
					}
				})
				f.awaitVersion()
				f.sendBesideEndless([]string{pathStream}, r)
			})
		}
	}
}
