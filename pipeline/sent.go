package pipeline

// Whether a request was sent to a target before its caller was told that it was not.
const (
	undecided int32 = iota
	sending
	endedUnsent
)

// BeginSend is called right before a request is sent to a target. It reports false if the
// caller has been told meanwhile that the request has not run.
func (ex *Exchange) BeginSend() bool {
	return ex.sent.CompareAndSwap(undecided, sending) || ex.sent.Load() == sending
}

// EndUnsent decides that the request is not sent any more. It reports false if it may have
// been sent.
func (ex *Exchange) EndUnsent() bool { return ex.sent.CompareAndSwap(undecided, endedUnsent) }
