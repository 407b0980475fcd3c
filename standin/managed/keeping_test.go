package managed

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// TestKeepingCallerSharesNoConnection guards against two requests at once on one connection, which
// looks like an answer that the router lost.
func TestKeepingCallerSharesNoConnection(t *testing.T) {
	const callers, requests = 64, 400
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.Header.Get(wire.HeaderRequestID))
	}))
	defer server.Close()
	c := NewKeepingCaller("kept", time.Minute)
	defer c.Close()
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for range requests {
				got := c.Send(t.Context(), strings.TrimPrefix(server.URL, "http://"), "/", "")
				if !got.Complete || got.Body != got.ID {
					t.Errorf("%s got %q with status %d", got.ID, got.Body, got.Status)
					return
				}
			}
		})
	}
	workers.Wait()
}
