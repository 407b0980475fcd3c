package pipeline

import "testing"

// TestBeginSendExcludesCancelSend guards against sending a request whose caller was told
// that it did not run, and against telling a caller so when the request may have been sent.
func TestBeginSendExcludesCancelSend(t *testing.T) {
	sent, cancelled := &Exchange{}, &Exchange{}
	if !sent.BeginSend() || sent.CancelSend() || !sent.BeginSend() {
		t.Error("a request that was sent can be cancelled, or cannot be sent again")
	}
	if !cancelled.CancelSend() || cancelled.BeginSend() {
		t.Error("a cancelled request can be sent")
	}
}
