package targets

// Header names between routers and targets.
const (
	// HeaderResumeOffset asks to resume a stream after so many body bytes.
	HeaderResumeOffset = "Walnut-Resume-Offset"
	// HeaderFencingNumber carries the fencing number of an order.
	HeaderFencingNumber = "Walnut-Fencing-Number"
	// HeaderIdempotencyKey names one non-idempotent action.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// isHopByHop says whether an answer's header is about one connection or about
// the framing that the client has already taken off.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// isFramingHeader says whether the client itself sets the header, so that a
// caller's value must not pass. Names are canonical.
func isFramingHeader(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		HeaderResumeOffset, HeaderFencingNumber:
		return true
	}
	return false
}
