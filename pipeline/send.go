package pipeline

// The states of Exchange.sendState. Sending a request and telling its caller that it
// was not sent exclude each other: whichever comes first decides.
const (
	sendUndecided int32 = iota
	sendBegun
	sendCancelled
)

// BeginSend is called right before a request is sent to a target. It returns false if the
// caller has already been told that the request did not run.
func (ex *Exchange) BeginSend() bool {
	return ex.sendState.CompareAndSwap(sendUndecided, sendBegun) || ex.sendState.Load() == sendBegun
}

// WasSent reports whether the request may have been sent to a target.
func (ex *Exchange) WasSent() bool { return ex.sendState.Load() == sendBegun }

// CancelSend prevents the request from being sent. It returns false if it may already
// have been sent.
func (ex *Exchange) CancelSend() bool {
	return ex.sendState.CompareAndSwap(sendUndecided, sendCancelled)
}
