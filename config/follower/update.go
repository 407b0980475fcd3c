package follower

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/walnutcove/walnutcove/config"
)

// Update is a peer's response to a fetch: the entries after a version, or a
// snapshot if those entries are no longer in memory. Both are empty if the peer
// has nothing newer.
type Update struct {
	// Entries are consecutive, oldest first.
	Entries []config.Entry `json:"entries,omitempty"`
	// Snapshot is a snapshot encoded by config.EncodeSnapshot.
	Snapshot json.RawMessage `json:"whole,omitempty"`
}

// Encode returns the update as sent between peers.
func (u Update) Encode() ([]byte, error) { return json.Marshal(u) }

// DecodeUpdate decodes the output of Encode.
func DecodeUpdate(data []byte) (Update, error) {
	var update Update
	if err := json.Unmarshal(data, &update); err != nil {
		return Update{}, fmt.Errorf("config follower: decode update: %w", err)
	}
	return update, nil
}

// PeerFetcher requests newer versions from a peer; the peer responds with Serve.
type PeerFetcher interface {
	// Fetch requests from the router node the update after version from.
	Fetch(ctx context.Context, node string, from config.Version) (Update, error)
}

// Source is the part of the configuration store that a follower uses.
type Source interface {
	// Since returns one page of entries after a version, oldest first. An empty
	// page means that after is the newest version.
	Since(ctx context.Context, after config.Version) ([]config.Entry, error)
	// Load returns the snapshot of the newest version, or of version zero if
	// there is none.
	Load(ctx context.Context) (*config.Snapshot, error)
}
