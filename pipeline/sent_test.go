package pipeline

import "testing"

// TestSentOrToldNotRun guards against sending a request whose caller was told that it has not
// run, and against telling that of one that may have been sent.
func TestSentOrToldNotRun(t *testing.T) {
	sent, ended := &Exchange{}, &Exchange{}
	if !sent.BeginSend() || sent.EndUnsent() || !sent.BeginSend() {
		t.Error("a request that was sent is told as not run, or cannot be sent again")
	}
	if !ended.EndUnsent() || ended.BeginSend() {
		t.Error("a request that was told as not run is sent")
	}
}
