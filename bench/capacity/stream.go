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

// eventStart is the beginning of the event of each token in a stream.
var eventStart = []byte("data: ")

// streamReader reads many streams at once and times their tokens.
type streamReader struct {
	// addresses are used in turn.
	addresses []string
	key       string
	tokens    int
	client    *http.Client

	mu          sync.Mutex
	firstTokens *hdrhistogram.Histogram
	tokenGaps   *hdrhistogram.Histogram
	events      int
	failures    []error
}

func newStreamReader(addresses []string, key string, tokens int) *streamReader {
	const maxMicros = int64(time.Minute / time.Microsecond)
	return &streamReader{
		addresses: addresses, key: key, tokens: tokens,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DisableCompression: true}},
		firstTokens: hdrhistogram.New(1, maxMicros, 3),
		tokenGaps:   hdrhistogram.New(1, maxMicros, 3),
	}
}

// run opens count streams, spread evenly over openingTime, and reads each to its
// end.
func (s *streamReader) run(ctx context.Context, count int, openingTime time.Duration) error {
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() {
			time.Sleep(openingTime * time.Duration(n) / time.Duration(count))
			if err := s.read(ctx, n); err != nil {
				s.mu.Lock()
				s.failures = append(s.failures, err)
				s.mu.Unlock()
			}
		})
	}
	all.Wait()
	s.client.CloseIdleConnections()
	if len(s.failures) > 0 {
		return fmt.Errorf("%d of %d streams failed: %w", len(s.failures), count, s.failures[0])
	}
	return nil
}

// read opens stream n and times its tokens.
func (s *streamReader) read(ctx context.Context, n int) error {
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

// readEvents times each read that returns events. Several events in one read count
// as arriving together, with no gap between them.
func (s *streamReader) readEvents(body io.Reader, last time.Time) error {
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

func (s *streamReader) record(first bool, gap time.Duration, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events += events
	if first {
		_ = s.firstTokens.RecordValue(gap.Microseconds())
	} else {
		_ = s.tokenGaps.RecordValue(gap.Microseconds())
	}
}

// values returns quantiles of the times in milliseconds.
func (s *streamReader) values() []Value {
	quantile := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return []Value{
		{"first token ms, p50", quantile(s.firstTokens, 50)},
		{"first token ms, p95", quantile(s.firstTokens, 95)},
		{"token gap ms, p50", quantile(s.tokenGaps, 50)},
		{"token gap ms, p95", quantile(s.tokenGaps, 95)},
		{"token gap ms, p99", quantile(s.tokenGaps, 99)},
		{"token gap ms, most", quantile(s.tokenGaps, 100)},
	}
}
