package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/walnutcove/walnutcove/standin/engine"
)

// eventStart begins each token of a stream.
var eventStart = []byte("data: ")

// streams reads many streams at once and times their tokens.
type streams struct {
	// addresses are taken in turn.
	addresses []string
	key       string
	tokens    int
	client    *http.Client

	mu     sync.Mutex
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	events int
	failed []error
}

func newStreams(addresses []string, key string, tokens int) *streams {
	const longest = int64(time.Minute / time.Microsecond)
	return &streams{
		addresses: addresses, key: key, tokens: tokens,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}},
		first:  hdrhistogram.New(1, longest, 3),
		gaps:   hdrhistogram.New(1, longest, 3),
	}
}

// run opens streams spread evenly over a time and reads each to its end.
func (s *streams) run(ctx context.Context, count int, spread time.Duration) error {
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() {
			time.Sleep(spread * time.Duration(n) / time.Duration(count))
			if err := s.read(ctx, n); err != nil {
				s.mu.Lock()
				s.failed = append(s.failed, err)
				s.mu.Unlock()
			}
		})
	}
	all.Wait()
	s.client.CloseIdleConnections()
	if len(s.failed) > 0 {
		return fmt.Errorf("%d of %d streams failed: %w", len(s.failed), count, s.failed[0])
	}
	return nil
}

// read opens one stream and times its parts.
func (s *streams) read(ctx context.Context, n int) error {
	body, err := json.Marshal(map[string]any{
		"model": benchModel, "stream": true, "max_tokens": s.tokens,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("stream %d", n)}},
	})
	if err != nil {
		return err
	}
	url := "http://" + s.addresses[n%len(s.addresses)] + engine.PathChat
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+s.key)
	request.Header.Set("Content-Type", "application/json")
	last := time.Now()
	answer, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", answer.Status)
	}
	return s.readEvents(answer.Body, last)
}

// readEvents times each read that brings events. Events that come in one read
// have no gap between them.
func (s *streams) readEvents(body io.Reader, last time.Time) error {
	buffer := make([]byte, 16<<10)
	seen := 0
	for {
		n, err := body.Read(buffer)
		if events := bytes.Count(buffer[:n], eventStart); events > 0 {
			now := time.Now()
			s.record(seen == 0, now.Sub(last), events)
			seen += events
			last = now
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (s *streams) record(first bool, gap time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events += events
	if first {
		_ = s.first.RecordValue(gap.Microseconds())
	} else {
		_ = s.gaps.RecordValue(gap.Microseconds())
	}
}

// values returns the quantiles in milliseconds.
func (s *streams) values() []Value {
	quantile := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return []Value{
		{"first token ms, p50", quantile(s.first, 50)},
		{"first token ms, p95", quantile(s.first, 95)},
		{"token gap ms, p50", quantile(s.gaps, 50)},
		{"token gap ms, p95", quantile(s.gaps, 95)},
		{"token gap ms, p99", quantile(s.gaps, 99)},
		{"token gap ms, most", quantile(s.gaps, 100)},
	}
}
