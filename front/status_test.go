package front

import (
	"net/http"
	"testing"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/result"
)

// TestStatusPromisesWhatIsTrue: where callers go by the status alone, 408, 421, 429
// and 503 are given only to what did not run, and every refusal of what did not run
// for no fault of the caller gets one of them.
func TestStatusPromisesWhatIsTrue(t *testing.T) {
	s := New(Options{Dialect: &dialect.Dialect{StatusPromises: true}}, nil)
	promises := map[int]bool{
		http.StatusRequestTimeout:     true,
		http.StatusMisdirectedRequest: true,
		http.StatusTooManyRequests:    true,
		http.StatusServiceUnavailable: true,
	}
	for _, row := range result.Table() {
		for _, ran := range []result.Ran{result.RanNo, result.RanUnknown, result.RanYes} {
			refusal := result.New(row.Code, "x")
			refusal.Ran = ran
			status := s.statusOf(refusal)
			if promises[status] && ran != result.RanNo {
				t.Errorf("%s, ran %s: status %d", row.Name, ran, status)
			}
			if ran == result.RanNo && !promises[status] && !isCallersFault(row.Code) {
				t.Errorf("%s, not run: status %d", row.Name, status)
			}
		}
	}
}
