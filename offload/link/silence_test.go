package link

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/offload"
)

// TestSilenceEndsNoRequest guards against responses that are cut, and requests that fail, because
// the other side or the way to it was silent for a while and then went on.
func TestSilenceEndsNoRequest(t *testing.T) {
	for name, held := range map[string][]direction{
		"to executor": {toExecutor},
		"to source":   {toSource},
		"both":        {toExecutor, toSource},
	} {
		t.Run(name, func(t *testing.T) {
			goOn := make(chan struct{})
			p := connect(t, func(ctx context.Context, _ control.NodeID, request offload.Request, conn net.Conn) error {
				if string(request.Raw) == "begun" {
					if _, err := conn.Write([]byte("head, ")); err != nil {
						return err
					}
				}
				select {
				case <-goOn:
				case <-ctx.Done():
					return ctx.Err()
				}
				_, err := conn.Write([]byte("rest"))
				return err
			})
			p.allow(t, 10, 10)
			_, begun := p.send(t, "begun")
			eventually(t, "the first bytes", func() bool { return begun.received() == "head, " })
			_, waiting := p.send(t, "waiting")
			eventually(t, "the runs", func() bool { return p.executor.OpenRequests() == 2 })
			for _, d := range held {
				p.proxy.hold(d)
			}
			_, onItsWay := p.send(t, "on its way")
			time.Sleep(3 * quickOptions().SilenceTimeout)
			if _, refusal := p.source.Offer(offload.Request{Raw: []byte("new")}, newRecorder()); refusal == "" {
				t.Error("a request was put on a silent link")
			}
			close(goOn)
			time.Sleep(quickOptions().SilenceTimeout / 2)
			p.proxy.release()
			begun.expect(t, offload.Complete, "head, rest")
			waiting.expect(t, offload.Complete, "rest")
			onItsWay.expect(t, offload.Complete, "rest")
			p.source.NoteWanted(1)
			eventually(t, "further requests", func() bool { return p.source.Allowance() > 0 })
			_, further := p.send(t, "further")
			further.expect(t, offload.Complete, "rest")
		})
	}
}
