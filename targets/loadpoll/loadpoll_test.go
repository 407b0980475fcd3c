package loadpoll

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/walnutcove/walnutcove/targets"
)

// fakeLoader counts polls by address and blocks those of "hung" until they are cancelled.
type fakeLoader struct {
	mu             sync.Mutex
	polls          map[string]int
	outstanding    map[string]int
	maxOutstanding map[string]int
}

func newFakeLoader() *fakeLoader {
	return &fakeLoader{polls: map[string]int{}, outstanding: map[string]int{}, maxOutstanding: map[string]int{}}
}

func (f *fakeLoader) Load(ctx context.Context, address string) (targets.Load, error) {
	f.mu.Lock()
	f.polls[address]++
	f.outstanding[address]++
	f.maxOutstanding[address] = max(f.maxOutstanding[address], f.outstanding[address])
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.outstanding[address]--
		f.mu.Unlock()
	}()
	switch address {
	case "hung":
		<-ctx.Done()
		return targets.Load{}, ctx.Err()
	case "failing":
		return targets.Load{}, errors.New("refused")
	}
	return targets.Load{Slots: 3}, nil
}

func (f *fakeLoader) LoadWithPrefixes(ctx context.Context, address string) (targets.Load, error) {
	return f.Load(ctx, address)
}

func (f *fakeLoader) count(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polls[address]
}

// results counts what the callback received by target name.
type results struct {
	mu     sync.Mutex
	loads  map[string]int
	errors map[string]int
}

func (r *results) add(name string, load targets.Load, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.errors[name]++
	} else if load.Slots == 3 {
		r.loads[name]++
	}
}

func (r *results) wait(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		r.mu.Lock()
		ok := done()
		r.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s: %+v %+v", what, r.loads, r.errors)
		}
	}
}

func newResults() *results {
	return &results{loads: map[string]int{}, errors: map[string]int{}}
}

func TestHungTargetDelaysOnlyItself(t *testing.T) {
	defer goleak.VerifyNone(t)
	loader, got := newFakeLoader(), newResults()
	p := New(Options{Client: loader, OnResult: got.add, Every: time.Millisecond, Timeout: time.Hour})
	p.SetTargets(map[string]string{"a": "a", "b": "b", "f": "failing", "h": "hung"})
	got.wait(t, "repeated results", func() bool {
		return got.loads["a"] >= 20 && got.loads["b"] >= 20 && got.errors["f"] >= 20
	})
	for range 5 { // a duplicate entry would be polled twice at once
		p.SetTargets(map[string]string{"a": "a", "h": "hung"})
	}
	got.wait(t, "more results", func() bool { return got.loads["a"] >= 60 })
	if n := loader.count("hung"); n != 1 {
		t.Errorf("the hung target was polled %d times", n)
	}
	p.Close()
	for address, maxOutstanding := range loader.maxOutstanding {
		if maxOutstanding != 1 {
			t.Errorf("%s had %d polls outstanding", address, maxOutstanding)
		}
	}
	if got.errors["h"] != 0 {
		t.Error("a cancelled poll was reported")
	}
}

// TestSetTargetsReplacesAndRemovesTargets replaces the targets from within the callback of one
// that is removed, which must not be polled again.
func TestSetTargetsReplacesAndRemovesTargets(t *testing.T) {
	defer goleak.VerifyNone(t)
	loader, got := newFakeLoader(), newResults()
	var p *Poller
	ready := make(chan struct{})
	onResult := func(name string, load targets.Load, err error) {
		<-ready
		if name == "y" && loader.count("hung") == 1 {
			p.SetTargets(map[string]string{"x": "a"})
		}
		got.add(name, load, err)
	}
	p = New(Options{Client: loader, OnResult: onResult, Every: time.Millisecond, Timeout: time.Hour})
	defer p.Close()
	p.SetTargets(map[string]string{"x": "hung", "y": "b"})
	close(ready)
	got.wait(t, "the new address", func() bool { return got.loads["x"] >= 30 })
	if polls := loader.count("b"); polls != got.loads["y"] {
		t.Errorf("the removed target was polled %d times, %d reported", polls, got.loads["y"])
	}
	if got.errors["x"] != 0 {
		t.Error("the result of the old address was reported")
	}
}

func TestTimeoutIsReported(t *testing.T) {
	defer goleak.VerifyNone(t)
	got := newResults()
	p := New(Options{Client: newFakeLoader(), OnResult: got.add, Every: time.Millisecond, Timeout: 5 * time.Millisecond})
	defer p.Close()
	p.SetTargets(map[string]string{"h": "hung"})
	got.wait(t, "timeouts", func() bool { return got.errors["h"] >= 2 })
}
