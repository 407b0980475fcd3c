package devfleet

import (
	"encoding/hex"

	"github.com/walnutcove/walnutcove/config"
)

// DemoKey returns the API key of a workspace that Workspace creates.
func DemoKey(name string) string { return name + "-key" }

// DemoWorkspaces returns two workspaces for demonstrations: "bakery" with twice the
// share of "school".
func DemoWorkspaces() map[string]config.Workspace {
	return map[string]config.Workspace{
		"bakery": Workspace("bakery", 2),
		"school": Workspace("school", 1),
	}
}

// Workspace returns a workspace with a share, the key DemoKey(name) and access to
// both pools.
func Workspace(name string, share float64) config.Workspace {
	hash := config.HashKey([]byte(DemoKey(name)))
	return config.Workspace{
		Share:     share,
		KeyHashes: []string{hex.EncodeToString(hash[:])},
		Pools:     []string{EnginePool, ServicePool},
	}
}
