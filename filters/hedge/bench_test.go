package hedge

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
)

// BenchmarkWatch measures one wait for a target that is not silent.
func BenchmarkWatch(b *testing.B) {
	w := New(context.Background(), &pipeline.Exchange{}, Options{Limit: func() time.Duration { return time.Hour }, Log: slog.New(slog.DiscardHandler)})
	defer w.Stop()
	interrupt := func() {}
	for b.Loop() {
		w.Begin(interrupt)
		w.End(false)
	}
}

// BenchmarkNew measures the watch of one answer.
func BenchmarkNew(b *testing.B) {
	b.ReportAllocs()
	ex := &pipeline.Exchange{}
	for b.Loop() {
		New(context.Background(), ex, Options{Limit: func() time.Duration { return time.Hour }, Log: slog.New(slog.DiscardHandler)}).Stop()
	}
}
