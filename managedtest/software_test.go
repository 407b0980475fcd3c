package managedtest

import (
	"cmp"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/router"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// streamsAtOnce is how many streams a test has under way at a time, so that they spread
	// over all replicas.
	streamsAtOnce = 40
	// minContinued is how many of them must continue while their version serves: half of the
	// share of new streams that begin, which is all of them.
	minContinued = streamsAtOnce / 2
)

// softwareReplica describes a replica of the engine with a software version, whose streams
// last long enough to be broken off.
func softwareReplica(id, software string) managed.ReplicaOptions {
	options := genReplica(id)
	options.Software = software
	options.Slots = 64
	options.Pause = 20 * time.Millisecond
	return options
}

// attempts are the answers to the requests of one stream, in order.
type attempts []managed.Answer

// lastEvent returns the last event that the caller has.
func (a attempts) lastEvent() string {
	last := ""
	for _, answer := range a {
		last = cmp.Or(answer.LastEvent(), last)
	}
	return last
}

// isMixed reports whether runs of two software versions answered the stream's requests.
func (f *fleet) isMixed(stream attempts) bool {
	software := ""
	for _, answer := range stream {
		for _, run := range f.journal.Runs(answer.ID) {
			if software != "" && run.Software != software {
				return true
			}
			software = run.Software
		}
	}
	return false
}

// eachStream calls f for each stream, at the same time.
func eachStream(streams []attempts, f func(n int, stream *attempts)) {
	var callers sync.WaitGroup
	for n := range streams {
		callers.Go(func() { f(n, &streams[n]) })
	}
	callers.Wait()
}

// beginStreams begins streams at a router. Their callers close their connections after three
// events.
func (f *fleet) beginStreams(r *router.Router) []attempts {
	f.t.Helper()
	streams := make([]attempts, streamsAtOnce)
	eachStream(streams, func(_ int, stream *attempts) {
		*stream = attempts{f.sendUntilRead(r, managed.Request{Path: pathStream, Key: key, StopAfter: 3})}
	})
	for _, stream := range streams {
		if stream[0].LastEvent() == "" {
			f.t.Fatalf("a stream did not begin: %+v", stream[0])
		}
	}
	return streams
}

// reconnectStreams has the callers of all streams reconnect at a router, and returns how many
// streams continued.
// Their callers close their connections after the given number of events; zero: at the end.
func (f *fleet) reconnectStreams(r *router.Router, streams []attempts, stopAfter int) int {
	f.t.Helper()
	return f.reconnectWith(r, streams, func(stream attempts) managed.Request {
		return managed.Request{Resumes: stream[0].ID, StopAfter: stopAfter}
	})
}

// reconnectWith is like reconnectStreams. newRequest returns what the request of a stream has besides
// its path, its key and the event after which it continues.
func (f *fleet) reconnectWith(r *router.Router, streams []attempts, newRequest func(attempts) managed.Request) int {
	f.t.Helper()
	eachStream(streams, func(_ int, stream *attempts) {
		request := newRequest(*stream)
		request.Path, request.Key, request.AfterEvent = pathStream, key, stream.lastEvent()
		*stream = append(*stream, f.sendUntilRead(r, request))
	})
	continued := 0
	for _, stream := range streams {
		answer := stream[len(stream)-1]
		switch {
		case answer.Status == http.StatusOK && answer.LastEvent() != "":
			continued++
		case answer.Status == http.StatusServiceUnavailable && len(f.journal.Runs(answer.ID)) == 0:
		default:
			f.t.Errorf("%s neither continued nor was refused as not run: status %d, %d runs, %q", answer.ID, answer.Status, len(f.journal.Runs(answer.ID)), answer.Body)
		}
	}
	return continued
}

// checkUnmixed checks that no stream has events of two software versions.
func (f *fleet) checkUnmixed(streams []attempts) {
	f.t.Helper()
	mixed := 0
	for _, stream := range streams {
		if f.isMixed(stream) {
			mixed++
		}
	}
	if mixed > 0 {
		f.t.Errorf("%d of %d streams have events of two software versions", mixed, len(streams))
	}
}

// checkContinued checks how many streams continued.
func (f *fleet) checkContinued(continued, atLeast int) {
	f.t.Helper()
	f.t.Logf("%d of %d streams continued", continued, streamsAtOnce)
	if continued < atLeast {
		f.t.Errorf("%d of %d streams continued, want %d", continued, streamsAtOnce, atLeast)
	}
}

// TestBrokenStreamResumesAtItsSoftwareVersion guards against a router that resumes a broken
// stream on a target of another software version than the one that began it.
func TestBrokenStreamResumesAtItsSoftwareVersion(t *testing.T) {
	for name, sound := range map[string]bool{"no target of the version is left": false, "one is left": true} {
		t.Run(name, func(t *testing.T) {
			breaking := softwareReplica("breaks", "v1")
			breaking.BreakAfterEvents = 3
			replicas := []managed.ReplicaOptions{breaking, softwareReplica("new", "v2")}
			if sound {
				replicas = append(replicas, softwareReplica("old", "v1"))
			}
			f := startSettledFleet(t, unlimitedSlack, 1, replicas...)
			streams := make([]attempts, streamsAtOnce)
			eachStream(streams, func(_ int, stream *attempts) { *stream = attempts{f.send(f.routers[0], pathStream)} })
			f.checkUnmixed(streams)
			complete := 0
			for _, stream := range streams {
				if stream[0].Complete {
					complete++
				}
			}
			if sound {
				f.checkContinued(complete, streamsAtOnce)
			}
		})
	}
}

// startSoftwareFleet starts routers and two replicas of each of two software versions.
func startSoftwareFleet(t *testing.T, routers int) *fleet {
	t.Helper()
	f := startFleet(t, routers, softwareReplica("old-1", "v1"), softwareReplica("old-2", "v1"), softwareReplica("new-1", "v2"), softwareReplica("new-2", "v2"))
	f.waitJoined()
	return f
}

// TestReconnectedStreamContinuesAtItsSoftwareVersion guards against streams that continue at
// another software version when their callers reconnect, and against refusals of most of them.
func TestReconnectedStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	t.Run("same router", func(t *testing.T) {
		f := startSoftwareFleet(t, 1)
		streams := f.beginStreams(f.routers[0])
		f.checkContinued(f.reconnectStreams(f.routers[0], streams, 0), streamsAtOnce)
		f.checkUnmixed(streams)
	})
	for name, pause := range map[string]time.Duration{"another router, at once": 0, "another router, later": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			f := startSoftwareFleet(t, 3)
			streams := f.beginStreams(f.routers[0])
			time.Sleep(pause)
			f.checkContinued(f.reconnectStreams(f.routers[1], streams, 0), streamsAtOnce)
			f.checkUnmixed(streams)
		})
	}
	t.Run("after the first router has ended", func(t *testing.T) {
		f := startSoftwareFleet(t, 3)
		streams := f.beginStreams(f.routers[0])
		f.routers[0].Close()
		f.checkContinued(f.reconnectStreams(f.routers[1], streams, 0), minContinued)
		f.checkUnmixed(streams)
	})
	t.Run("at a router that has started since", func(t *testing.T) {
		f := startSoftwareFleet(t, 3)
		streams := f.beginStreams(f.routers[0])
		f.routers[0].Close()
		late := f.addRouter()
		f.waitReady(late)
		f.checkContinued(f.reconnectStreams(late, streams, 0), minContinued)
		f.checkUnmixed(streams)
	})
	t.Run("twice, at a third router", func(t *testing.T) {
		f := startSoftwareFleet(t, 3)
		streams := f.beginStreams(f.routers[0])
		f.checkContinued(f.reconnectStreams(f.routers[1], streams, 2), streamsAtOnce)
		f.checkContinued(f.reconnectStreams(f.routers[2], streams, 0), streamsAtOnce)
		f.checkUnmixed(streams)
	})
}

// TestReconnectedStreamAcrossRelease guards against the same for streams that began before
// replicas of a second version came, and when those of the first have left.
func TestReconnectedStreamAcrossRelease(t *testing.T) {
	start := func(t *testing.T) (*fleet, []attempts) {
		f := startFleet(t, 2, softwareReplica("old-1", "v1"), softwareReplica("old-2", "v1"))
		f.waitJoined()
		streams := f.beginStreams(f.routers[0])
		f.addReplica(softwareReplica("new-1", "v2"))
		f.addReplica(softwareReplica("new-2", "v2"))
		f.awaitSoftware("v2")
		return f, streams
	}
	t.Run("both serve", func(t *testing.T) {
		f, streams := start(t)
		f.checkContinued(f.reconnectStreams(f.routers[1], streams, 0), minContinued)
		f.checkUnmixed(streams)
	})
	t.Run("the first has left", func(t *testing.T) {
		f, streams := start(t)
		f.replicas[0].Close()
		f.replicas[1].Close()
		f.awaitNoSoftware("v1")
		for n := range f.routers {
			begun := time.Now()
			if continued := f.reconnectStreams(f.routers[n], streams, 0); continued > 0 {
				t.Errorf("%d streams continued", continued)
			}
			if took := time.Since(begun); took > time.Second {
				t.Errorf("refused after %s, although no target of the version is left", took)
			}
		}
		f.checkUnmixed(streams)
	})
}

// TestStreamsAreNotMixedAfterAllRoutersWereReplaced guards against streams that continue at another
// software version when no router is left that knows where they began.
func TestStreamsAreNotMixedAfterAllRoutersWereReplaced(t *testing.T) {
	for name, oldLeaves := range map[string]bool{"both versions serve": false, "the first has left": true} {
		for kind, newRequest := range map[string]func(attempts) managed.Request{
			"named":   func(stream attempts) managed.Request { return managed.Request{Resumes: stream[0].ID} },
			"unnamed": func(attempts) managed.Request { return managed.Request{} },
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, 2, softwareReplica("old-1", "v1"), softwareReplica("old-2", "v1"))
				f.waitJoined()
				streams := f.beginStreams(f.routers[0])
				f.addReplica(softwareReplica("new-1", "v2"))
				f.addReplica(softwareReplica("new-2", "v2"))
				f.awaitSoftware("v2")
				if oldLeaves {
					f.replicas[0].Close()
					f.replicas[1].Close()
					f.awaitNoSoftware("v1")
				}
				for _, r := range f.routers {
					r.Close()
				}
				late := []*router.Router{f.addRouter(), f.addRouter()}
				for _, r := range late {
					f.waitReady(r)
				}
				for n := range 3 * len(late) {
					f.reconnectWith(late[n%len(late)], streams, newRequest)
				}
				f.checkUnmixed(streams)
			})
		}
	}
}

// awaitSoftware waits until all routers list a target of a software version.
func (f *fleet) awaitSoftware(software string) { f.awaitListing(software, true) }

// awaitNoSoftware waits until no router lists a target of a software version.
func (f *fleet) awaitNoSoftware(software string) { f.awaitListing(software, false) }

func (f *fleet) awaitListing(software string, want bool) {
	f.t.Helper()
	for _, r := range f.routers {
		f.eventually(testTimeout, "the listing of "+software+" changes", func() bool {
			for _, target := range r.InForce().Declarations.Targets {
				if target.Software == software {
					return want
				}
			}
			return !want
		})
	}
}

// TestUnknownStreamIsNotRun guards against continuing a stream of which no router knows what
// version began it, while two versions serve.
func TestUnknownStreamIsNotRun(t *testing.T) {
	f := startSoftwareFleet(t, 2)
	for name, request := range map[string]managed.Request{
		"unknown id":            {Path: pathStream, Key: key, Resumes: "0123456789abcdef", AfterEvent: "3"},
		"unknown id, no event":  {Path: pathStream, Key: key, Resumes: "0123456789abcdef"},
		"no id":                 {Path: pathStream, Key: key, AfterEvent: "3"},
		"id of odd characters":  {Path: pathStream, Key: key, Resumes: "\"%s\" \\x00; a=b", AfterEvent: "3"},
		"event of many letters": {Path: pathStream, Key: key, Resumes: "0123456789abcdef", AfterEvent: longText},
	} {
		answer := f.sendUntilRead(f.routers[0], request)
		if runs := f.journal.Runs(answer.ID); answer.Status != http.StatusServiceUnavailable || len(runs) > 0 {
			t.Errorf("%s: status %d, %d runs", name, answer.Status, len(runs))
		}
		if answer.Header.Get("Retry-After") == "" {
			t.Errorf("%s: the caller is not told when to retry", name)
		}
	}
	tooLong := f.sendUntilRead(f.routers[0], managed.Request{Path: pathStream, Key: key, Resumes: longText, AfterEvent: "3"})
	if tooLong.Status != http.StatusBadRequest {
		t.Errorf("an id of %d bytes: status %d", len(longText), tooLong.Status)
	}
}

// longText is longer than an id may be.
var longText = strings.Repeat("f", 1000)

// TestStreamWithoutItsIDContinuesAtOnlyVersion guards against refusing callers that do not name
// the stream that they reconnect to, while only one software version has served since it can have
// begun; and against continuing it before the routers have listed the targets for so long.
func TestStreamWithoutItsIDContinuesAtOnlyVersion(t *testing.T) {
	// streamLife is for how long streams may be continued on the routes of these tests.
	const streamLife = 30 * time.Second
	t.Parallel()
	begun := time.Now()
	f := startFleet(t, 2, softwareReplica("old-1", "v1"), softwareReplica("old-2", "v1"))
	f.waitJoined()
	reconnect := func() managed.Answer {
		return f.sendUntilRead(f.routers[0], managed.Request{Path: pathStream, Key: key, AfterEvent: "3"})
	}
	for range 5 {
		answer := reconnect()
		if runs := f.journal.Runs(answer.ID); answer.Status != http.StatusServiceUnavailable || len(runs) > 0 {
			t.Errorf("another version may have served before: status %d, %d runs", answer.Status, len(runs))
		}
	}
	time.Sleep(time.Until(begun.Add(streamLife + testTimeout/4)))
	for range 5 {
		answer := reconnect()
		if answer.Status != http.StatusOK || !answer.Complete {
			t.Errorf("status %d, complete %v", answer.Status, answer.Complete)
		}
	}
}

// TestStreamOfAnotherWorkspaceIsUnknown guards against a workspace that learns of, or is bound
// by, the streams of another one whose request ids it names.
func TestStreamOfAnotherWorkspaceIsUnknown(t *testing.T) {
	f := startFleet(t, 2, softwareReplica("old-1", "v1"), softwareReplica("new-1", "v2"))
	f.publishConfig(func(c *wire.Config) {
		other := c.Tenants[0]
		other.Name, other.Keys = "other", []string{"other-key"}
		c.Tenants = append(c.Tenants, other)
	})
	f.awaitVersion()
	f.waitJoined()
	for _, stream := range f.beginStreams(f.routers[0]) {
		request := managed.Request{Path: pathStream, Key: "other-key", Resumes: stream[0].ID, AfterEvent: stream[0].LastEvent()}
		if answer := f.sendUntilRead(f.routers[0], request); answer.Status != http.StatusServiceUnavailable {
			t.Fatalf("another workspace's stream was continued: status %d", answer.Status)
		}
	}
}

// TestReconnectAfterRouteStoppedResumingIsNotMixed guards against continuing a stream at any
// version once its route does not allow streams to be resumed any more.
func TestReconnectAfterRouteStoppedResumingIsNotMixed(t *testing.T) {
	f := startSoftwareFleet(t, 2)
	streams := f.beginStreams(f.routers[0])
	f.publishConfig(func(c *wire.Config) { c.Routes[len(c.Routes)-1].Resumable = false })
	f.awaitVersion()
	f.reconnectStreams(f.routers[1], streams, 0)
	f.checkUnmixed(streams)
}
