package devfleet_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/devfleet"
)

// TestDrainThroughAnotherRouter drains vm-2 by a request to vm-1's operator API and
// checks that vm-1 does not drain.
func TestDrainThroughAnotherRouter(t *testing.T) {
	fleet := startFleet(t, devfleet.Options{Routers: 2, Engines: 1})
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		status, body := requestDrain(t, fleet, "vm-2")
		if status == http.StatusOK {
			break
		}
		// vm-1 may not have read the list of VMs yet.
		if status != http.StatusNotFound || time.Now().After(end) {
			t.Fatalf("status %d: %s", status, body)
		}
	}
	select {
	case <-fleet.Routers[1].DrainRequested():
	case <-time.After(testTimeout):
		t.Fatal("vm-2 was not asked to drain")
	}
	select {
	case <-fleet.Routers[0].DrainRequested():
		t.Error("vm-1 drains")
	default:
	}
}

// requestDrain requests the drain of a router through vm-1.
func requestDrain(t *testing.T, fleet *devfleet.Fleet, node string) (status int, body string) {
	t.Helper()
	url := "http://" + fleet.Routers[0].OperatorsAddress() + "/operator/v1/drain"
	response, err := http.Post(url, "application/json", strings.NewReader(`{"node":"`+node+`"}`))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}
