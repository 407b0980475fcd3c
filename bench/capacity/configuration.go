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

// patchesMeasured is how many versions each value is the mean of.
const patchesMeasured = 20

func versionOf(n int) config.Version { return config.Version(n) }

// patchShare returns a patch that changes one workspace's share.
func patchShare(base config.Version, workspace int) config.Patch {
	return config.Patch{
		ID:      config.NewPatchID(),
		Base:    base,
		Author:  "operator",
		Changes: json.RawMessage(fmt.Sprintf(`{"workspaces":{"%s":{"share":%d}}}`, workspaceName(workspace), 2+int(base)%5)),
	}
}

// fillVersions submits a number of versions of a small configuration.
func fillVersions(s *store.Store, versions int) error {
	size := fleetSize{nodes: 1, dataCentres: 1, pools: 1, targets: 1, workspaces: 1, slotsPerTarget: 1, poolsPerWorkspace: 1}
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

// largeSnapshot returns the configuration of the given size as the first version.
func largeSnapshot(size fleetSize) (*config.Snapshot, error) {
	changes, _, err := config.Diff(config.Declarations{}, size.declarations())
	if err != nil {
		return nil, err
	}
	return config.Apply(config.Empty(), config.Patch{ID: config.NewPatchID(), Changes: changes})
}

// measureVersion measures what one version costs a node: applying it in the follower
// and in the state machine.
func measureVersion(workspaces int, seed uint64) ([]Value, error) {
	size := plannedSize()
	size.workspaces = workspaces
	before := heapInUse()
	snapshot, err := largeSnapshot(size)
	if err != nil {
		return nil, err
	}
	snapshot.Index()
	heap := heapInUse() - before
	encoded, err := config.EncodeSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	start := processorTime()
	if _, err := config.DecodeSnapshot(encoded); err != nil {
		return nil, err
	}
	decodeTime := processorTime() - start
	n := newNode(size.assign(), nodeLoad{}, seed)
	followerTime, machineTime, entry, err := applyVersions(n, snapshot)
	if err != nil {
		return nil, err
	}
	update, err := follower.Update{Entries: []config.Entry{entry}}.Encode()
	if err != nil {
		return nil, err
	}
	return []Value{
		{"follower us/version", float64(followerTime.Microseconds()) / patchesMeasured},
		{"machine us/version", float64(machineTime.Microseconds()) / patchesMeasured},
		{"bytes of an entry to a peer", float64(len(update))},
		{"bytes of the whole", float64(len(encoded))},
		{"ms to read the whole", float64(decodeTime.Milliseconds())},
		{"heap bytes of the whole", heap},
	}, nil
}

// applyVersions applies versions one after another. It returns the processor time
// of the follower and of the state machine, and the last entry.
func applyVersions(n *node, snapshot *config.Snapshot) (followerTime, machineTime time.Duration, entry config.Entry, err error) {
	for i := range patchesMeasured {
		patch := patchShare(snapshot.Version, i)
		start := processorTime()
		next, err := config.Apply(snapshot, patch)
		if err != nil {
			return 0, 0, entry, err
		}
		next.Index()
		followerTime += processorTime() - start
		start = processorTime()
		n.machine.Step(n.now, control.ConfigChanged{Snapshot: next})
		machineTime += processorTime() - start
		entry = config.Entry{Version: next.Version, Patch: patch, AcceptedAt: time.Now(), Digest: next.Digest}
		snapshot = next
	}
	return followerTime, machineTime, entry, nil
}
