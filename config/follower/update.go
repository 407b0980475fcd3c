package follower

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/walnutcove/walnutcove/config"
)

// Update is what one peer answers another: the entries after a version, or a
// whole snapshot when those entries are no longer in memory. Both are empty
// when the peer has nothing newer.
type Update struct {
	// Entries are consecutive, oldest first.
	Entries []config.Entry `json:"entries,omitempty"`
	// Whole is a snapshot as encoded by config.EncodeSnapshot.
	Whole json.RawMessage `json:"whole,omitempty"`
}

// Encode returns the update as it travels between peers.
func (u Update) Encode() ([]byte, error) { return json.Marshal(u) }

// DecodeUpdate reads what Encode wrote.
func DecodeUpdate(data []byte) (Update, error) {
	var update Update
	if err := json.Unmarshal(data, &update); err != nil {
		return Update{}, fmt.Errorf("config follower: decode update: %w", err)
	}
	return update, nil
}

// PeerFetcher asks a peer for newer versions; the peer answers with Serve.
type PeerFetcher interface {
	// Fetch asks node for what follows version from.
	Fetch(ctx context.Context, node string, from config.Version) (Update, error)
}

// Source is the follower's view of the configuration store.
type Source interface {
	// Since returns one page of entries after a version, oldest first. Empty
	// means that after is the newest version.
	Since(ctx context.Context, after config.Version) ([]config.Entry, error)
	// Load returns the newest version in full; version zero if there is none.
	Load(ctx context.Context) (*config.Snapshot, error)
}
