package targets

// Names of the headers between routers and targets.
const (
	// HeaderResumeOffset asks the target to resume a stream after the given number of body
	// bytes.
	HeaderResumeOffset = "Walnut-Resume-Offset"
	// HeaderFencingNumber carries the fencing number of an order.
	HeaderFencingNumber = "Walnut-Fencing-Number"
	// HeaderIdempotencyKey identifies one non-idempotent action.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// isHopByHop reports whether a header of an answer concerns one connection, or the framing that
// the client has already removed.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Keep-Alive", "Proxy-Authenticate",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// isFramingHeader reports whether the client itself sets the header, so that a caller's value
// must not be forwarded. Names are canonical.
func isFramingHeader(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		HeaderResumeOffset, HeaderFencingNumber:
		return true
	}
	return false
}
