package offload

// Cause is the kind of reason for which a request ended as Broken, as written to logs and labels of
// metrics.
type Cause string

// The causes for which requests end as Broken.
const (
	// CauseResponse: the executor did not complete the response, as its target failed or it stopped.
	CauseResponse Cause = "response"
	// CauseConnection: the connection to the executor ended.
	CauseConnection Cause = "connection"
	// CauseProtocol: the executor sent what it must not.
	CauseProtocol Cause = "protocol"
	// CauseSilent: the executor was silent when the deadline of the request passed.
	CauseSilent Cause = "silent"
	// CauseStopped: the source was stopped.
	CauseStopped Cause = "stopped"
)

// Loss is why a request ended as Broken.
type Loss struct {
	Cause Cause
	// Executor is the name of the executor, or "" if it is not known.
	Executor string
	// Err is the error with which the link to the executor ended; nil if it did not.
	Err error
}
