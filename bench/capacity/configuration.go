package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/config/follower"
	"github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/control"
)

// patchesMeasured is how many versions each figure is the mean of.
const patchesMeasured = 20

func versionOf(n int) config.Version { return config.Version(n) }

// patchShare changes one workspace's share.
func patchShare(on config.Version, workspace int) config.Patch {
	return config.Patch{
		ID:      config.NewPatchID(),
		Base:    on,
		Author:  "operator",
		Changes: json.RawMessage(fmt.Sprintf(`{"workspaces":{"%s":{"share":%d}}}`, workspaceName(workspace), 2+int(on)%5)),
	}
}

// fillVersions makes versions of a small configuration.
func fillVersions(s *store.Store, versions int) error {
	size := fleetSize{nodes: 1, centres: 1, pools: 1, targets: 1, workspaces: 1, slots: 1, poolsEach: 1}
	changes, _, err := config.Diff(config.Declarations{}, size.declarations())
	if err != nil {
		return err
	}
	patch := config.Patch{ID: config.NewPatchID(), Changes: changes}
	for n := range versions {
		if n > 0 {
			patch = patchShare(versionOf(n), 0)
		}
		if _, err := s.Submit(context.Background(), nil, patch); err != nil {
			return err
		}
	}
	return nil
}

// largeSnapshot returns a size's configuration as the first version.
func largeSnapshot(size fleetSize) (*config.Snapshot, error) {
	changes, _, err := config.Diff(config.Declarations{}, size.declarations())
	if err != nil {
		return nil, err
	}
	return config.Apply(config.Empty(), config.Patch{ID: config.NewPatchID(), Changes: changes})
}

// measureVersion is what one version costs a node: taking it in force in the
// follower and in the state machine.
func measureVersion(workspaces int, seed uint64) ([]Value, error) {
	size := letterSize()
	size.workspaces = workspaces
	before := heapInUse()
	snapshot, err := largeSnapshot(size)
	if err != nil {
		return nil, err
	}
	snapshot.Index()
	heap := heapInUse() - before
	whole, err := config.EncodeSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	start := processorTime()
	if _, err := config.DecodeSnapshot(whole); err != nil {
		return nil, err
	}
	decoded := processorTime() - start
	n := newNode(size.assign(), nodeLoad{}, seed)
	applied, changed, entry, err := applyVersions(n, snapshot)
	if err != nil {
		return nil, err
	}
	update, err := follower.Update{Entries: []config.Entry{entry}}.Encode()
	if err != nil {
		return nil, err
	}
	return []Value{
		{"follower us/version", float64(applied.Microseconds()) / patchesMeasured},
		{"machine us/version", float64(changed.Microseconds()) / patchesMeasured},
		{"bytes of an entry to a peer", float64(len(update))},
		{"bytes of the whole", float64(len(whole))},
		{"ms to read the whole", float64(decoded.Milliseconds())},
		{"heap bytes of the whole", heap},
	}, nil
}

// applyVersions puts versions in force one after another.
func applyVersions(n *node, snapshot *config.Snapshot) (applied, changed time.Duration, entry config.Entry, err error) {
	for i := range patchesMeasured {
		patch := patchShare(snapshot.Version, i)
		start := processorTime()
		next, err := config.Apply(snapshot, patch)
		if err != nil {
			return 0, 0, entry, err
		}
		next.Index()
		applied += processorTime() - start
		start = processorTime()
		n.machine.Step(n.now, control.ConfigChanged{Snapshot: next})
		changed += processorTime() - start
		entry = config.Entry{Version: next.Version, Patch: patch, AcceptedAt: time.Now(), Digest: next.Digest}
		snapshot = next
	}
	return applied, changed, entry, nil
}
