package wait

import (
	"context"
	"testing"
	"time"
)

func TestForEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if For(ctx, time.Hour) {
		t.Error("waited an hour")
	}
	if !For(context.Background(), 0) {
		t.Error("did not wait to the end")
	}
}
