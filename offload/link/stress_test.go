package link

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload"
)

// TestDeclinedNeverRuns guards against "not run" for a request that runs, and against a truncated
// response that counts as complete, when links end at any moment of it.
func TestDeclinedNeverRuns(t *testing.T) {
	const rounds, senders, requestsEach = 60, 4, 30
	for round := range rounds {
		var ran, taken sync.Map
		p := connect(t, func(_ context.Context, _ control.NodeID, request offload.Request, conn net.Conn) error {
			ran.Store(request.ID, true)
			if rand.IntN(8) == 0 {
				ran.Delete(request.ID)
				return ErrDeclined
			}
			for _, c := range request.Raw {
				if _, err := conn.Write([]byte{c}); err != nil {
					return err
				}
			}
			return nil
		}, func(o *Options) { o.GatherTime = 100 * time.Microsecond })
		p.allow(t, senders*requestsEach, 20)
		var sending sync.WaitGroup
		for sender := range senders {
			sending.Go(func() {
				for n := range requestsEach {
					id := fmt.Sprintf("%d-%d", sender, n)
					r := newRecorder()
					sent, _ := p.source.Offer(offload.Request{ID: id, Raw: []byte("request " + id)}, r)
					if sent == nil {
						continue
					}
					taken.Store(id, r)
					if rand.IntN(4) == 0 {
						sent.Cancel()
						taken.Delete(id)
					}
					time.Sleep(rand.N(200 * time.Microsecond))
				}
			})
		}
		time.Sleep(rand.N(6 * time.Millisecond))
		if round%2 == 0 {
			p.source.Close()
		} else {
			p.executor.Close()
		}
		sending.Wait()
		await(t, "the end of the source", p.source.Done())
		await(t, "the end of the executor", p.executor.Done())
		eventually(t, "the end of the runs", func() bool { return p.executor.OpenRequests() == 0 })
		taken.Range(func(id, answer any) bool {
			r := answer.(*recorder)
			await(t, "the end of a request", r.ended)
			_, hasRun := ran.Load(id)
			if r.ends[0] == offload.Declined && (hasRun || r.received() != "") {
				t.Errorf("%s was declined although it ran", id)
			}
			if r.ends[0] == offload.Complete && r.received() != "request "+id.(string) {
				t.Errorf("%s is complete with %q", id, r.received())
			}
			return true
		})
	}
}
