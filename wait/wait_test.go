package wait

import (
	"context"
	"testing"
	"time"
)

func TestForStopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if For(ctx, time.Hour) {
		t.Error("did not stop when its context ended")
	}
	if !For(context.Background(), 0) {
		t.Error("did not wait to the end")
	}
}
