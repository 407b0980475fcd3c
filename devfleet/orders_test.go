package devfleet_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/config/store"
	"github.com/walnutcove/walnutcove/devfleet"
)

// TestDeclaredModelsAndRolesAreOrdered declares models and roles for the engines of a
// fleet without any traffic, and checks that the routers that schedule the engines send
// the orders, fenced by the configuration version.
func TestDeclaredModelsAndRolesAreOrdered(t *testing.T) {
	fleet := startFleet(t, devfleet.Options{})
	changes, err := json.Marshal(map[string]any{"targets": map[string]any{
		"engine-1": map[string]any{"load_models": []string{devfleet.Model, "walnut-small@2/tone"}, "role": "prefill"},
		"engine-2": map[string]any{"role": "decode"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	memory := fleet.Platform.Store()
	versions := store.New(memory, memory.Objects(), store.Options{})
	patch := config.Patch{ID: config.NewPatchID(), Base: 1, Changes: changes}
	accepted, err := versions.Submit(context.Background(), fleet.Routers[0].InForce(), patch)
	if err != nil {
		t.Fatal(err)
	}
	waitOrdered(t, fleet)
	for _, e := range fleet.Engines {
		if fence := e.Orders().Fence; fence != uint64(accepted.Entry.Version) {
			t.Errorf("fencing number %d, want the version %d", fence, accepted.Entry.Version)
		}
	}
}

func waitOrdered(t *testing.T, fleet *devfleet.Fleet) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		first, second := fleet.Engines[0].Orders(), fleet.Engines[1].Orders()
		loaded := slices.Equal(first.Models, []string{devfleet.Model, "walnut-small@2/tone"})
		if loaded && first.Role == "prefill" && second.Role == "decode" {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("states %+v and %+v", first, second)
		}
	}
}
