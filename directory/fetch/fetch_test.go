package fetch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// fakePeers answers fetches. Each of them takes the time of its peer, with bytes arriving every
// interval from the first one on.
type fakePeers struct {
	mu sync.Mutex
	// delay holds the time until the first byte; a negative one means that the call fails at once.
	delay map[control.NodeID]time.Duration
	// intervals is how many further 100 ms intervals an answer takes after its first byte.
	intervals int
	asked     []control.NodeID
	merged    []control.NodeID
	calls     []context.Context
	maxAsked  int // the largest number of calls at once that were not cancelled
	// busy holds the peers with a call in progress, and askedTwice those asked during one.
	busy       map[control.NodeID]context.Context
	askedTwice []control.NodeID
}

func (p *fakePeers) call(ctx context.Context, node control.NodeID, onBytes func(int)) ([]byte, error) {
	p.mu.Lock()
	p.asked = append(p.asked, node)
	if earlier, isBusy := p.busy[node]; isBusy && earlier.Err() == nil {
		p.askedTwice = append(p.askedTwice, node)
	}
	if p.busy == nil {
		p.busy = make(map[control.NodeID]context.Context)
	}
	p.busy[node] = ctx
	p.calls = slices.DeleteFunc(append(p.calls, ctx), func(call context.Context) bool { return call.Err() != nil })
	p.maxAsked = max(p.maxAsked, len(p.calls))
	delay := p.delay[node]
	p.mu.Unlock()
	if delay < 0 {
		return nil, errors.New("busy")
	}
	for n := range p.intervals + 1 {
		select {
		case <-time.After(delay):
			onBytes(1)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if n == 0 {
			delay = 100 * time.Millisecond
		}
	}
	return []byte("x"), nil
}

func (p *fakePeers) isSynced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.merged) > 0
}

// announceAll starts a fetcher to which peers announce themselves every 250 ms until one of their
// directories was merged, or for a minute. It returns how long that took.
func (p *fakePeers) announceAll(t *testing.T, peers int) time.Duration {
	t.Helper()
	f := New(Options{
		Call: p.call,
		Merge: func(node control.NodeID, _ []byte) error {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.merged = append(p.merged, node)
			return nil
		},
		Log: slog.New(slog.DiscardHandler),
	})
	start := time.Now()
	for !p.isSynced() && time.Since(start) < time.Minute {
		for n := range peers {
			f.Announced(nodeName(n), func() bool { return !p.isSynced() })
		}
		for n := 0; n < 250 && !p.isSynced(); n++ {
			time.Sleep(time.Millisecond)
		}
	}
	took := time.Since(start)
	time.Sleep(time.Minute)
	if len(p.askedTwice) > 0 {
		t.Errorf("peers %v are asked again before they have answered", p.askedTwice)
	}
	return took
}

func nodeName(n int) control.NodeID { return control.NodeID(fmt.Sprintf("n%d", n)) }

// TestSlowPeersAreNotGivenUp guards against a router that never gets the directory, because it
// gives up each peer that needs longer than a limit and begins anew at the next one.
func TestSlowPeersAreNotGivenUp(t *testing.T) {
	tests := []struct {
		name      string
		delay     time.Duration
		intervals int
		within    time.Duration
	}{
		{"late first byte", 1500 * time.Millisecond, 0, 1500*time.Millisecond + stalledAfter + 50*time.Millisecond},
		{"very late first byte", 5 * time.Second, 0, 8 * time.Second},
		{"answer that takes long", 50 * time.Millisecond, 100, 10100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const peers = 12
				p := &fakePeers{delay: make(map[control.NodeID]time.Duration), intervals: test.intervals}
				for n := range peers {
					p.delay[nodeName(n)] = test.delay
				}
				if took := p.announceAll(t, peers); took > test.within {
					t.Errorf("no directory for %s, %s at most expected; asked %v", took, test.within, p.asked)
				}
				if p.maxAsked > maxFetches {
					t.Errorf("%d peers are asked at once", p.maxAsked)
				}
			})
		})
	}
}

// TestOtherPeersAreAskedBesideSilentOnes guards against a router that waits for peers that have
// stopped while others could answer.
func TestOtherPeersAreAskedBesideSilentOnes(t *testing.T) {
	for _, silent := range []int{1, 2, 3, 5} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakePeers{delay: make(map[control.NodeID]time.Duration)}
				for n := range silent {
					p.delay[nodeName(n)] = 30 * time.Second
				}
				within := time.Duration(silent)*stalledAfter + 50*time.Millisecond
				if silent >= maxFetches {
					within = (maxFetches-1)*stalledAfter + time.Duration(silent-maxFetches+1)*(searchTime+stalledAfter)
				}
				if took := p.announceAll(t, silent+1); took > within {
					t.Errorf("no directory for %s, %s at most expected; asked %v", took, within, p.asked)
				}
			})
		})
	}
}

// TestPeerIsAskedWhenAnotherOneRefuses guards against a router that waits for the next heartbeat
// after a peer refused its call.
func TestPeerIsAskedWhenAnotherOneRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePeers{delay: map[control.NodeID]time.Duration{"n0": -1, "n1": -1, "n2": 5 * time.Millisecond}}
		if took := p.announceAll(t, 3); took > 50*time.Millisecond {
			t.Errorf("no directory for %s; asked %v", took, p.asked)
		}
	})
}

// TestOnePeerIsAskedAtATime guards against needless load: several peers answer at once for a
// directory that one of them can send.
func TestOnePeerIsAskedAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePeers{delay: map[control.NodeID]time.Duration{"n0": 50 * time.Millisecond}, intervals: 10}
		p.announceAll(t, 5)
		if len(p.asked) != 1 {
			t.Errorf("asked %v", p.asked)
		}
	})
}

// TestPauseOfThisProcessIsNotSilence guards against giving up, after a pause of this process, fetches
// whose answers have arrived meanwhile and wait to be read.
func TestPauseOfThisProcessIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePeers{delay: map[control.NodeID]time.Duration{"n0": 20 * time.Millisecond, "n1": 20 * time.Millisecond}}
		f := New(Options{Call: p.call, Merge: func(control.NodeID, []byte) error { return nil }, Log: slog.New(slog.DiscardHandler)})
		f.Announced("n0", func() bool { return true })
		synctest.Wait()
		f.mu.Lock()
		f.checkAt = f.checkAt.Add(-10 * time.Second) // as if time had passed without a check
		f.inProgress[0].progressAt = f.inProgress[0].progressAt.Add(-10 * time.Second)
		f.mu.Unlock()
		f.Announced("n1", func() bool { return true })
		synctest.Wait()
		p.mu.Lock()
		asked := slices.Clone(p.asked)
		p.mu.Unlock()
		if len(asked) != 1 {
			t.Errorf("asked %v while an answer may wait to be read", asked)
		}
		time.Sleep(time.Minute)
	})
}

// TestPeerThatAnsweredIsAskedAgain guards against a router that never learns the next version from
// its only peer, because that peer was asked before.
func TestPeerThatAnsweredIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePeers{delay: map[control.NodeID]time.Duration{"n0": -1}}
		f := New(Options{Call: p.call, Merge: func(control.NodeID, []byte) error { return nil }, Log: slog.New(slog.DiscardHandler)})
		for _, delay := range []time.Duration{-1, 5 * time.Millisecond, 5 * time.Millisecond} {
			p.mu.Lock()
			p.delay["n0"] = delay
			p.mu.Unlock()
			f.Announced("n0", func() bool { return true })
			time.Sleep(time.Second)
		}
		if len(p.asked) != 3 {
			t.Errorf("asked %d times after one refusal and two answers, want 3", len(p.asked))
		}
	})
}
