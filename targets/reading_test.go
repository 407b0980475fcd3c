package targets_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/walnutcove/walnutcove/control/speed"
	"github.com/walnutcove/walnutcove/platform"
	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/targets"
)

// TestLoadIsReadFromAnswersOfTheTarget guards against readings that are lost with a refusal, and
// against readings from a garbled header, an answer of another incarnation or one that is not the
// target's own.
func TestLoadIsReadFromAnswersOfTheTarget(t *testing.T) {
	const notRun = wire.HeaderNotRun + ": 1\r\n"
	const seal = wire.HeaderSeal + ": s\r\n"
	full := speed.Reading{Running: 8, Waiting: 3, Slots: 8, Percent: 250}
	noSpeed := speed.Reading{Running: 8, Waiting: 3, Slots: 8}
	for _, c := range []struct {
		name   string
		status int
		header string
		load   string
		want   speed.Reading
		result string
	}{
		{"answer", http.StatusOK, seal, "8,3,8,250", full, "read"},
		{"answer without speed", http.StatusOK, seal, "8,3,8", noSpeed, "no_speed"},
		{"failure", http.StatusInternalServerError, "", "8,3,8,250", full, "read"},
		{"refusal", http.StatusServiceUnavailable, notRun, "8,3,8,250", full, "read"},
		{"garbled", http.StatusOK, seal, "8,3,8,-250", speed.Reading{}, "invalid"},
		{"garbled refusal", http.StatusServiceUnavailable, notRun, "full", speed.Reading{}, "invalid"},
		{"another incarnation", http.StatusMisdirectedRequest, "", "8,3,8,250", speed.Reading{}, ""},
		{"without a seal", http.StatusOK, "", "8,3,8,250", speed.Reading{}, ""},
		{"no header", http.StatusOK, seal, "", speed.Reading{}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			load := ""
			if c.load != "" {
				load = wire.HeaderLoad + ": " + c.load + "\r\n"
			}
			answer := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: r-1\r\n%s%sContent-Length: 0\r\n\r\n", c.status, wire.HeaderRequestID, c.header, load)
			set := metrics.NewSet()
			client := newClient(t, targets.Options{Dialect: platform.Dialect, Metrics: set})
			resp, err := client.Do(context.Background(), targets.Request{ID: "r-1", Address: scriptServer(t, replyOnce(answer)), Method: http.MethodPost, Path: "/"})
			if got := targets.LoadOf(resp, err); got != c.want {
				t.Errorf("got %+v, want %+v (error %v)", got, c.want, err)
			}
			checkReadings(t, set, c.result)
		})
	}
}

// TestLoadOfOtherCallsIsNotRead guards against readings from answers to polls and probes, which
// say nothing about callers' requests.
func TestLoadOfOtherCallsIsNotRead(t *testing.T) {
	set := metrics.NewSet()
	client := newClient(t, targets.Options{Dialect: platform.Dialect, Metrics: set})
	answer := "HTTP/1.1 200 OK\r\n" + wire.HeaderLoad + ": 8,3,8,250\r\nContent-Length: 2\r\n\r\n{}"
	if _, err := client.Get(context.Background(), scriptServer(t, replyOnce(answer)), "/x", nil); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Load(context.Background(), scriptServer(t, replyOnce(answer))); err != nil {
		t.Fatal(err)
	}
	checkReadings(t, set, "")
}

// checkReadings checks that one reading was counted with the given result, or none if it is empty.
func checkReadings(t *testing.T, set *metrics.Set, result string) {
	t.Helper()
	for _, label := range []string{"read", "no_speed", "invalid"} {
		want := uint64(0)
		if label == result {
			want = 1
		}
		if got := set.GetOrCreateCounter(fmt.Sprintf(`walnut_target_load_readings_total{result=%q}`, label)).Get(); got != want {
			t.Errorf("%d readings with the result %q, want %d", got, label, want)
		}
	}
}
