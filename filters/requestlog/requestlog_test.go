package requestlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// logLines runs one exchange to its end and returns its log lines.
func logLines(t *testing.T, f *Filter, out *bytes.Buffer, end error) []map[string]any {
	t.Helper()
	out.Reset()
	ex := &pipeline.Exchange{ID: "r-1", Method: "POST", Path: "/x?token=y", Body: []byte("body")}
	err := f.Serve(context.Background(), ex, func(_ context.Context, ex *pipeline.Exchange) error {
		ex.WorkspaceName, ex.PoolName, ex.Target, ex.Attempt, ex.Status = "bakery", "drafting", "engine-1", 2, 200
		return end
	})
	if !errors.Is(err, end) {
		t.Fatalf("Serve returned %v", err)
	}
	ex.End(end)
	var all []map[string]any
	for text := range strings.Lines(out.String()) {
		var line map[string]any
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatal(err)
		}
		all = append(all, line)
	}
	return all
}

func newFilter(level slog.Level) (*Filter, *bytes.Buffer) {
	var out bytes.Buffer
	return New(slog.New(slog.NewJSONHandler(&out, &slog.HandlerOptions{Level: level}))), &out
}

func TestEachOutcomeIsLogged(t *testing.T) {
	f, out := newFilter(slog.LevelDebug)
	for _, c := range []struct {
		end            error
		level, message string
		code           any
	}{
		{nil, "INFO", "request: Answered.", nil},
		{result.New(result.QueueFull, "Full."), "INFO", "request: Refused.", 501.0},
		{result.New(result.CallerGone, "Gone."), "INFO", "request: Refused.", 604.0},
		{result.New(result.TargetLostRequest, "Lost."), "WARN", "request: Failed.", 705.0},
		{result.New(result.RecordUnavailable, "Down."), "WARN", "request: Failed.", 402.0},
		{result.New(result.Internal, "Fault."), "ERROR", "request: Failed.", 901.0},
		{errors.New("connection reset"), "INFO", "request: Answer did not reach the caller.", nil},
	} {
		all := logLines(t, f, out, c.end)
		if len(all) != 2 || all[0]["msg"] != "request: Arrived." || all[0]["request"] != "r-1" || all[0]["path"] != "/x" {
			t.Fatalf("%v: got %v", c.end, all)
		}
		last := all[1]
		if last["level"] != c.level || last["msg"] != c.message || last["code"] != c.code {
			t.Errorf("%v: got %v", c.end, last)
		}
		if last["request"] != "r-1" || last["workspace"] != "bakery" || last["target"] != "engine-1" || last["attempt"] != 2.0 {
			t.Errorf("%v: the request is not named in %v", c.end, last)
		}
	}
}

func TestWarningsAreBounded(t *testing.T) {
	f, out := newFilter(slog.LevelWarn)
	lost := result.New(result.TargetLostRequest, "Lost.")
	f.warnings.SetLimit(0) // no tokens are refilled during the test
	before := demotedCount.Get()
	warned := 0
	for range warningsBurst + 7 {
		warned += len(logLines(t, f, out, lost))
	}
	if warned != warningsBurst || demotedCount.Get()-before != 7 {
		t.Errorf("%d warnings, %d demoted", warned, demotedCount.Get()-before)
	}
}

// TestRefusalByConfigurationNamesItsVersion guards against refusals of a router with an old
// configuration that cannot be told from those that callers deserve.
func TestRefusalByConfigurationNamesItsVersion(t *testing.T) {
	f, out := newFilter(slog.LevelInfo)
	f.Serve(t.Context(), &pipeline.Exchange{ID: "r-1"}, func(_ context.Context, ex *pipeline.Exchange) error {
		ex.Snapshot = &config.Snapshot{Version: 7, Origin: config.Origin{Source: "peer vm-2", At: time.Now().Add(-time.Minute)}}
		err := result.New(result.UnknownPath, "No route.")
		ex.End(err)
		return err
	})
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line["version"] != 7.0 || line["version_from"] != "peer vm-2" || line["version_age"].(float64) < float64(time.Minute) {
		t.Errorf("got %v", line)
	}
}
