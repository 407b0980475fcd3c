package proctest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/operator"
	"github.com/walnutcove/walnutcove/result"
)

// newPatch sets the share of a workspace.
func newPatch(base config.Version, share float64) config.Patch {
	changes := fmt.Sprintf(`{"workspaces":{"school":{"share":%g}}}`, share)
	return config.Patch{ID: config.NewPatchID(), Base: base, Author: "proctest", Changes: json.RawMessage(changes)}
}

// patch sends a patch to a router and notes the accepted version.
func (f *fleet) patch(router int, patch config.Patch) (config.Version, error) {
	var accepted operator.PatchAccepted
	if err := post(f.operators(router)+operator.PathPatches, patch, &accepted); err != nil {
		return 0, err
	}
	f.mu.Lock()
	f.version = max(f.version, accepted.Version)
	f.mu.Unlock()
	f.note("version %d accepted at %s", accepted.Version, routerName(router))
	return accepted.Version, nil
}

// newest is the newest version that the test was told of.
func (f *fleet) newest() config.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// codeOf is the numbered result of an operators' refusal; zero if it has none.
func codeOf(err error) result.Code {
	var status *statusError
	if !errors.As(err, &status) {
		return 0
	}
	var body operator.ErrorBody
	if json.Unmarshal([]byte(status.body), &body) != nil {
		return 0
	}
	return result.Code(body.Code)
}

// inForce requires that routers are on the newest version within
// inForceWithin of now.
func (f *fleet) inForce(routers ...int) {
	f.t.Helper()
	version, since := f.newest(), time.Now()
	for _, n := range routers {
		reached := func() bool {
			got, _ := f.versionAt(n)
			return got >= version
		}
		if !waitFor(inForceWithin-time.Since(since), reached) {
			got, _ := f.versionAt(n)
			f.t.Errorf("%s is on version %d, not %d, after %s", routerName(n), got, version, inForceWithin)
		}
	}
}

// judgeSame fails unless every router gives the same newest version.
func (f *fleet) judgeSame() {
	f.t.Helper()
	var first config.Snapshot
	for n := range routerCount {
		var snapshot config.Snapshot
		f.must(get(f.operators(n)+operator.PathConfig, &snapshot))
		if n == 0 {
			first.Version, first.Digest = snapshot.Version, snapshot.Digest
		}
		if snapshot.Version != first.Version || snapshot.Digest != first.Digest {
			f.t.Errorf("%s has version %d with digest %v, %s has %d with %v", routerName(n),
				snapshot.Version, snapshot.Digest, routerName(0), first.Version, first.Digest)
		}
	}
}

// judgeHistory fails unless every accepted patch stands in the history under
// its version.
func (f *fleet) judgeHistory(accepted map[config.Version]string) {
	f.t.Helper()
	stands := f.history()
	for version, id := range accepted {
		if stands[version] != id {
			f.t.Errorf("version %d was accepted for patch %s; the history has %q", version, id, stands[version])
		}
	}
}

// history reads the patch of every version, page by page.
func (f *fleet) history() map[config.Version]string {
	f.t.Helper()
	stands := make(map[config.Version]string)
	for before := f.newest() + 1; before > 1; {
		var page operator.HistoryAnswer
		f.must(get(fmt.Sprintf("%s%s?limit=200&before=%d", f.operators(0), operator.PathHistory, before), &page))
		if len(page.Versions) == 0 {
			break
		}
		for _, entry := range page.Versions {
			stands[entry.Version] = entry.PatchID
			before = min(before, entry.Version)
		}
	}
	return stands
}

// versionWatch looks at the version in force at every router all the time.
type versionWatch struct {
	f      *fleet
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// watchVersions fails the test as soon as a router that is ready is on an
// older version than it was before.
func (f *fleet) watchVersions() *versionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &versionWatch{f: f, cancel: cancel}
	for n := range routerCount {
		w.done.Go(func() { w.watch(ctx, n) })
	}
	f.t.Cleanup(w.end)
	return w
}

func (w *versionWatch) watch(ctx context.Context, n int) {
	highest := config.Version(0)
	for ctx.Err() == nil {
		got, ready := w.f.versionAt(n)
		if ready && got < highest {
			w.f.t.Errorf("%s went back from version %d to %d", routerName(n), highest, got)
		}
		highest = max(highest, got)
		time.Sleep(watchPause)
	}
}

func (w *versionWatch) end() {
	w.cancel()
	w.done.Wait()
}

// judge ends the watch and judges the routers' own logs as well.
func (w *versionWatch) judge() {
	w.f.t.Helper()
	w.end()
	for n := range routerCount {
		w.judgeLog(n)
	}
}

// versionLine is printed by a router for each version that it puts in force.
var versionLine = regexp.MustCompile(`config: Version in force\." .*version=(\d+) patch=`)

// judgeLog fails unless the versions that a router's process put in force rise.
// It must be called before a restart as well.
func (w *versionWatch) judgeLog(n int) {
	w.f.t.Helper()
	last := -1
	for _, found := range versionLine.FindAllStringSubmatch(w.f.routers[n].Output(), -1) {
		version, err := strconv.Atoi(found[1])
		w.f.must(err)
		if version <= last {
			w.f.t.Errorf("%s put version %d in force after version %d", routerName(n), version, last)
		}
		last = version
	}
	if last < 0 {
		w.f.t.Errorf("%s put no version in force", routerName(n))
	}
}

// operators patch at one router each, almost without a pause.
type operators struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	accepted map[config.Version]string
	twice    []config.Version
}

func (f *fleet) startOperators() *operators {
	ctx, cancel := context.WithCancel(context.Background())
	o := &operators{cancel: cancel, accepted: make(map[config.Version]string)}
	for n := range routerCount {
		o.done.Go(func() { o.patch(ctx, f, n) })
	}
	f.t.Cleanup(func() { o.end() })
	return o
}

// patch sends a patch until its outcome is known, then the next.
func (o *operators) patch(ctx context.Context, f *fleet, router int) {
	for n := 1; ctx.Err() == nil; n++ {
		patch := newPatch(f.newest(), float64(n))
		for try := 0; ctx.Err() == nil && try < 20; try++ {
			version, err := f.patch((router+try)%routerCount, patch)
			if err == nil {
				o.note(version, patch.ID)
				break
			}
			if codeOf(err) == result.VersionConflict {
				o.catchUp(f, err)
				break
			}
			time.Sleep(pollPause)
		}
		time.Sleep(pollPause)
	}
}

// catchUp learns of the newest version from a conflict.
func (o *operators) catchUp(f *fleet, conflict error) {
	var status *statusError
	var body operator.ErrorBody
	if errors.As(conflict, &status) && json.Unmarshal([]byte(status.body), &body) == nil {
		f.mu.Lock()
		f.version = max(f.version, body.Newest)
		f.mu.Unlock()
	}
}

func (o *operators) note(version config.Version, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if other, found := o.accepted[version]; found && other != id {
		o.twice = append(o.twice, version)
	}
	o.accepted[version] = id
}

// more waits until so many more versions were accepted.
func (o *operators) more(f *fleet, versions int) {
	f.t.Helper()
	count := func() int {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.accepted)
	}
	want := count() + versions
	f.eventually(fmt.Sprintf("%d more versions are accepted", versions), func() bool { return count() >= want })
}

// end stops the operators and returns the patches by accepted version.
func (o *operators) end() map[config.Version]string {
	o.cancel()
	o.done.Wait()
	return o.accepted
}
