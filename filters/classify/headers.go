package classify

import (
	"strconv"
	"strings"
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

// Headers that callers set.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "Walnut-Idempotent"
	headerDeadline       = "Walnut-Deadline"
	headerCostHint       = "Walnut-Cost-Hint"

	// headerPrefix begins the name of every header that is specific to walnutcove.
	headerPrefix = "Walnut-"
)

// Limits of header values.
const (
	maxKeyLength = 255
	maxDeadline  = 24 * time.Hour
	maxCostHint  = 24 * time.Hour
)

// readHeaders sets the deadline, the cost hint and the idempotency of the request from
// its headers.
func (f *Filter) readHeaders(ex *pipeline.Exchange) *result.Error {
	if refusal := checkHeaderNames(ex.Header); refusal != nil {
		return refusal
	}
	deadline, refusal := readDuration(ex, headerDeadline, f.options.DefaultDeadline, maxDeadline)
	if refusal != nil {
		return refusal
	}
	ex.Deadline = ex.Arrived.Add(deadline)
	ex.CostHint, refusal = readDuration(ex, headerCostHint, 0, maxCostHint)
	if refusal != nil {
		return refusal
	}
	return readIdempotency(ex)
}

// checkHeaderNames refuses unknown headers that begin with headerPrefix. A misspelt
// header must not be treated as absent, and headers that the router sends to targets,
// such as fencing numbers, must not come from a caller.
func checkHeaderNames(header map[string]string) *result.Error {
	for name := range header {
		if !strings.HasPrefix(name, headerPrefix) {
			continue
		}
		switch name {
		case headerIdempotent, headerDeadline, headerCostHint:
		default:
			return result.New(result.BadHeader, "%.64q is not a header that callers may send.", name)
		}
	}
	return nil
}

// readIdempotency sets whether the request may run more than once. A pool that
// is marked non-idempotent takes precedence over the caller's header.
func readIdempotency(ex *pipeline.Exchange) *result.Error {
	ex.IdempotencyKey = ex.Header[headerIdempotencyKey]
	if !isValidKey(ex.IdempotencyKey) {
		return result.New(result.BadHeader, "%s must be 1 to %d printable ASCII characters.", headerIdempotencyKey, maxKeyLength)
	}
	ex.Idempotent = isIdempotentByDefault(ex)
	switch value := ex.Header[headerIdempotent]; value {
	case "":
	case "true":
		ex.Idempotent = true
	case "false":
		ex.Idempotent = false
	default:
		return result.New(result.BadHeader, "%s must be true or false.", headerIdempotent)
	}
	if ex.Pool.NonIdempotent {
		ex.Idempotent = false
	}
	if !ex.Idempotent && ex.IdempotencyKey == "" {
		return result.New(result.IdempotencyKeyMissing, "A non-idempotent request needs an %s.", headerIdempotencyKey)
	}
	return nil
}

func isValidKey(key string) bool {
	if len(key) > maxKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// readDuration reads a header that holds a duration such as "1.5s", or an integer
// number of milliseconds. It returns defaultValue if the header is missing.
func readDuration(ex *pipeline.Exchange, name string, defaultValue, maxValue time.Duration) (time.Duration, *result.Error) {
	text := ex.Header[name]
	if text == "" {
		return defaultValue, nil
	}
	value, err := parseDuration(text)
	if err != nil || value <= 0 || value > maxValue {
		return 0, result.New(result.BadHeader, "%s must be a duration such as 1.5s, or milliseconds, over 0 and up to %s.", name, maxValue)
	}
	return value, nil
}

func parseDuration(text string) (time.Duration, error) {
	millis, err := strconv.ParseInt(text, 10, 32)
	if err == nil {
		return time.Duration(millis) * time.Millisecond, nil
	}
	return time.ParseDuration(text)
}
