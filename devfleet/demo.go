package devfleet

import (
	"encoding/hex"

	"github.com/walnutcove/walnutcove/config"
)

// DemoKey is the key of the workspace named name in Demo.
func DemoKey(name string) string { return name + "-key" }

// Demo returns two workspaces for trying things out: "bakery" with twice the
// share of "school".
func Demo() map[string]config.Workspace {
	return map[string]config.Workspace{
		"bakery": Workspace("bakery", 2),
		"school": Workspace("school", 1),
	}
}

// Workspace returns a workspace with DemoKey(name) and both pools.
func Workspace(name string, share float64) config.Workspace {
	hash := config.HashKey([]byte(DemoKey(name)))
	return config.Workspace{
		Share:     share,
		KeyHashes: []string{hex.EncodeToString(hash[:])},
		Pools:     []string{EnginePool, ServicePool},
	}
}
