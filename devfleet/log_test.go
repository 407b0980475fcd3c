package devfleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/devfleet"
	"github.com/walnutcove/walnutcove/load"
	"github.com/walnutcove/walnutcove/result"
)

// logLines collects JSON log lines.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// ofRequest returns the log lines of one request.
func (l *logLines) ofRequest(t *testing.T, requestID string) []map[string]any {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []map[string]any
	for text := range strings.Lines(l.text.String()) {
		var line map[string]any
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if line["request"] == requestID {
			found = append(found, line)
		}
	}
	return found
}

// waitFor waits until the request has a line with the message, and returns it.
func (l *logLines) waitFor(t *testing.T, requestID, message string) map[string]any {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		lines := l.ofRequest(t, requestID)
		if index := slices.IndexFunc(lines, func(line map[string]any) bool { return line["msg"] == message }); index >= 0 {
			return lines[index]
		}
	}
	t.Fatalf("no line %q of request %s in %v", message, requestID, l.ofRequest(t, requestID))
	return nil
}

// TestLogShowsEveryStepOfARequest looks a request up in the log by the id that its
// caller received, and checks its steps, and for a failed request the line that names
// the target.
func TestLogShowsEveryStepOfARequest(t *testing.T) {
	var log logLines
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, err := devfleet.Start(ctx, devfleet.Options{
		Routers: 1,
		Engines: 1,
		Log:     slog.New(slog.NewJSONHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	client := load.NewClient(testTimeout)
	defer client.Close()
	request := load.Request{Kind: load.NonStreaming, Key: devfleet.DemoKey("bakery"), Mark: "a", Model: devfleet.Model, MaxTokens: 3}
	answered := client.Send(fleet.Routers[0].CallersAddress(), request)
	if answered.Verdict != load.Answered {
		t.Fatalf("got %+v", answered)
	}
	log.waitFor(t, answered.RequestID, "request: Answered.")
	var messages []any
	for _, line := range log.ofRequest(t, answered.RequestID) {
		messages = append(messages, line["msg"])
	}
	want := []any{"request: Arrived.", "grant: Slot granted.", "dispatch: Answer began.", "request: Answered."}
	if !slices.Equal(messages, want) {
		t.Errorf("the request's messages are %q", messages)
	}

	fleet.Engines[0].Close()
	failed := client.Send(fleet.Routers[0].CallersAddress(), request)
	if failed.Verdict != load.Refused {
		t.Fatalf("got %+v", failed)
	}
	line := log.waitFor(t, failed.RequestID, "request: Failed.")
	if line["level"] != "WARN" || line["workspace"] != "bakery" || line["target"] != "engine-1" || line["code"] != float64(failed.Code) {
		t.Errorf("code %v: %v", result.Code(failed.Code), line)
	}
}
