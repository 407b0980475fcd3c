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

// newPatch returns a patch that sets the share of a workspace.
func newPatch(base config.Version, share float64) config.Patch {
	changes := fmt.Sprintf(`{"workspaces":{"school":{"share":%g}}}`, share)
	return config.Patch{ID: config.NewPatchID(), Base: base, Author: "proctest", Changes: json.RawMessage(changes)}
}

// patch sends a patch to a router and records the accepted version.
func (f *fleet) patch(router int, patch config.Patch) (config.Version, error) {
	var accepted operator.PatchAccepted
	if err := post(f.operatorsAddress(router)+operator.PathPatches, patch, &accepted); err != nil {
		return 0, err
	}
	f.mu.Lock()
	f.version = max(f.version, accepted.Version)
	f.mu.Unlock()
	f.note("version %d accepted at %s", accepted.Version, routerName(router))
	return accepted.Version, nil
}

// newest returns the newest version that the test was told of.
func (f *fleet) newest() config.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// resultCode returns the result code of a refusal by the operator API, or 0 if
// the error has none.
func resultCode(err error) result.Code {
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

// checkVersionInForce fails unless routers reach the newest version within
// maxVersionDelay from now.
func (f *fleet) checkVersionInForce(routers ...int) {
	f.t.Helper()
	version, since := f.newest(), time.Now()
	for _, n := range routers {
		reached := func() bool {
			got, _ := f.versionAt(n)
			return got >= version
		}
		if !waitFor(maxVersionDelay-time.Since(since), reached) {
			got, _ := f.versionAt(n)
			f.t.Errorf("%s is on version %d, not %d, after %s", routerName(n), got, version, maxVersionDelay)
		}
	}
}

// checkSameVersion fails unless every router reports the same newest version and
// digest.
func (f *fleet) checkSameVersion() {
	f.t.Helper()
	var first config.Snapshot
	for n := range routerCount {
		var snapshot config.Snapshot
		f.must(get(f.operatorsAddress(n)+operator.PathConfig, &snapshot))
		if n == 0 {
			first.Version, first.Digest = snapshot.Version, snapshot.Digest
		}
		if snapshot.Version != first.Version || snapshot.Digest != first.Digest {
			f.t.Errorf("%s has version %d with digest %v, %s has %d with %v", routerName(n),
				snapshot.Version, snapshot.Digest, routerName(0), first.Version, first.Digest)
		}
	}
}

// checkHistory fails unless every accepted patch is in the history under its
// version.
func (f *fleet) checkHistory(accepted map[config.Version]string) {
	f.t.Helper()
	patches := f.history()
	for version, id := range accepted {
		if patches[version] != id {
			f.t.Errorf("version %d was accepted for patch %s; the history has %q", version, id, patches[version])
		}
	}
}

// history reads the patch ID of every version, page by page.
func (f *fleet) history() map[config.Version]string {
	f.t.Helper()
	patches := make(map[config.Version]string)
	for before := f.newest() + 1; before > 1; {
		var page operator.HistoryAnswer
		f.must(get(fmt.Sprintf("%s%s?limit=200&before=%d", f.operatorsAddress(0), operator.PathHistory, before), &page))
		if len(page.Versions) == 0 {
			break
		}
		for _, entry := range page.Versions {
			patches[entry.Version] = entry.PatchID
			before = min(before, entry.Version)
		}
	}
	return patches
}

// versionWatch polls the version in force at every router.
type versionWatch struct {
	f      *fleet
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// watchVersions starts a watch that fails the test if a router that is ready is
// on an older version than it was before.
func (f *fleet) watchVersions() *versionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &versionWatch{f: f, cancel: cancel}
	for n := range routerCount {
		w.done.Go(func() { w.watch(ctx, n) })
	}
	f.t.Cleanup(w.stop)
	return w
}

func (w *versionWatch) watch(ctx context.Context, n int) {
	highest := config.Version(0)
	for ctx.Err() == nil {
		got, ready := w.f.versionAt(n)
		if ready && got < highest {
			w.f.t.Errorf("%s returned from version %d to %d", routerName(n), highest, got)
		}
		highest = max(highest, got)
		time.Sleep(versionPollPause)
	}
}

func (w *versionWatch) stop() {
	w.cancel()
	w.done.Wait()
}

// stopAndCheck ends the watch and also checks the routers' own logs.
func (w *versionWatch) stopAndCheck() {
	w.f.t.Helper()
	w.stop()
	for n := range routerCount {
		w.checkLog(n)
	}
}

// versionLine matches the line that a router prints for each version that it
// puts in force.
var versionLine = regexp.MustCompile(`config: Version in force\." .*version=(\d+) patch=`)

// checkLog fails unless the versions that a router's process put in force
// increase. It must also be called before a restart, which discards the output.
func (w *versionWatch) checkLog(n int) {
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

// operators submit patches at one router each, with hardly a pause.
type operators struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu sync.Mutex
	// accepted maps each accepted version to the ID of its patch, and duplicates
	// holds the versions that were given to two patches.
	accepted   map[config.Version]string
	duplicates []config.Version
}

func (f *fleet) startOperators() *operators {
	ctx, cancel := context.WithCancel(context.Background())
	o := &operators{cancel: cancel, accepted: make(map[config.Version]string)}
	for n := range routerCount {
		o.done.Go(func() { o.patch(ctx, f, n) })
	}
	f.t.Cleanup(func() { o.stop() })
	return o
}

// patch sends one patch after another, each until it is accepted, refused because
// of a conflict, or has failed 20 times. A failed attempt is repeated at the next
// router.
func (o *operators) patch(ctx context.Context, f *fleet, router int) {
	for n := 1; ctx.Err() == nil; n++ {
		patch := newPatch(f.newest(), float64(n))
		for try := 0; ctx.Err() == nil && try < 20; try++ {
			version, err := f.patch((router+try)%routerCount, patch)
			if err == nil {
				o.record(version, patch.ID)
				break
			}
			if resultCode(err) == result.VersionConflict {
				o.catchUp(f, err)
				break
			}
			time.Sleep(pollPause)
		}
		time.Sleep(pollPause)
	}
}

// catchUp records the newest version, which the refusal because of a conflict
// states.
func (o *operators) catchUp(f *fleet, conflict error) {
	var status *statusError
	var body operator.ErrorBody
	if errors.As(conflict, &status) && json.Unmarshal([]byte(status.body), &body) == nil {
		f.mu.Lock()
		f.version = max(f.version, body.Newest)
		f.mu.Unlock()
	}
}

func (o *operators) record(version config.Version, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if other, found := o.accepted[version]; found && other != id {
		o.duplicates = append(o.duplicates, version)
	}
	o.accepted[version] = id
}

// awaitAccepted waits until a number of further versions were accepted.
func (o *operators) awaitAccepted(f *fleet, versions int) {
	f.t.Helper()
	count := func() int {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.accepted)
	}
	want := count() + versions
	f.eventually(fmt.Sprintf("%d more versions are accepted", versions), func() bool { return count() >= want })
}

// stop ends the operators and returns the ID of the patch of each accepted
// version.
func (o *operators) stop() map[config.Version]string {
	o.cancel()
	o.done.Wait()
	return o.accepted
}
