package front

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/filters/authenticate"
	"github.com/walnutcove/walnutcove/filters/classify"
	"github.com/walnutcove/walnutcove/pipeline"
)

// fixedSnapshot is a configuration source with one fixed snapshot.
type fixedSnapshot struct{ snapshot *config.Snapshot }

func (s fixedSnapshot) InForce() *config.Snapshot { return s.snapshot }

func benchSnapshot() *config.Snapshot {
	hash := config.HashKey([]byte("secret"))
	return &config.Snapshot{Version: 1, Declarations: config.Declarations{
		Workspaces: map[string]config.Workspace{
			"bakery": {Share: 1, KeyHashes: []string{hex.EncodeToString(hash[:])}, Pools: []string{"chat"}},
		},
		Pools: map[string]config.Pool{"chat": {Kind: config.KindEngine, Models: []string{"small"}}},
	}}
}

func answerOK(_ context.Context, ex *pipeline.Exchange) error {
	ex.Status = http.StatusOK
	ex.AnswerBody = []byte(`{"ok":true}`)
	return nil
}

func benchBody(promptBytes int) string {
	return fmt.Sprintf(`{"model":"small","messages":[{"role":"user","content":%q}]}`, strings.Repeat("x", promptBytes))
}

// BenchmarkRequest measures one request over loopback, including the caller's work:
// through the server alone, and through the authenticate and classify filters as well.
func BenchmarkRequest(b *testing.B) {
	source := fixedSnapshot{benchSnapshot()}
	filters := pipeline.Chain(authenticate.New(source), classify.New(classify.Options{}))
	for _, size := range []int{100, 10_000} {
		b.Run(fmt.Sprintf("front/%dB", size), func(b *testing.B) { benchRequest(b, size, answerOK) })
		b.Run(fmt.Sprintf("front+authenticate+classify/%dB", size), func(b *testing.B) {
			benchRequest(b, size, func(ctx context.Context, ex *pipeline.Exchange) error {
				if err := filters(ctx, ex); err != nil {
					return err
				}
				return answerOK(ctx, ex)
			})
		})
	}
}

// BenchmarkWatch measures one check of 1000 waiting callers.
func BenchmarkWatch(b *testing.B) {
	const callers = 1000
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	w := newWatcher(DefaultWatchEvery)
	for range callers {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		w.add(&request{conn: newCallerConn(conn, nil)})
	}
	var batch []*request
	b.ReportAllocs()
	for b.Loop() {
		batch = w.checkAll(batch[:0])
	}
}

func benchRequest(b *testing.B, size int, handler pipeline.Handler) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := New(Options{}, handler)
	go s.Serve(listener)
	defer s.Close()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	body := benchBody(size)
	request := []byte(fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	r := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		if err := skipAnswer(r); err != nil {
			b.Fatal(err)
		}
	}
}

// skipAnswer reads an answer without allocating memory.
func skipAnswer(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if strings.HasPrefix(string(line), "HTTP/1.1 ") && string(line[9:12]) != "200" {
			return fmt.Errorf("status %s", line)
		}
		if len(line) == 2 {
			break
		}
	}
	_, err := io.CopyN(io.Discard, r, int64(len(`{"ok":true}`)))
	return err
}

// BenchmarkRefuseAt measures what a refusal timer adds to a request that is answered in time.
func BenchmarkRefuseAt(b *testing.B) {
	r := &request{server: &Server{}}
	for b.Loop() {
		r.answerOwner.Store(answerUnclaimed)
		if !r.refuseAt(time.Now().Add(time.Minute), func() error { return nil })() {
			b.Fatal("refused")
		}
	}
}
