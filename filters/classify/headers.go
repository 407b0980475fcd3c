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

	// headerPrefix begins every header with a meaning to the router.
	headerPrefix = "Walnut-"
)

// Bounds of header values.
const (
	maxKeyLength = 255
	maxDeadline  = 24 * time.Hour
	maxCostHint  = 24 * time.Hour
)

// readHeaders sets what the caller's headers say.
func (f *Filter) readHeaders(ex *pipeline.Exchange) *result.Error {
	if refusal := checkNames(ex.Header); refusal != nil {
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

// checkNames refuses unknown headers of the router's own prefix. A misspelt one
// must not pass for absent, and those that the router sends to targets, such as
// fencing numbers, must not come from a caller.
func checkNames(header map[string]string) *result.Error {
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
// is marked non-idempotent overrules the caller.
func readIdempotency(ex *pipeline.Exchange) *result.Error {
	ex.IdempotencyKey = ex.Header[headerIdempotencyKey]
	if !validKey(ex.IdempotencyKey) {
		return result.New(result.BadHeader, "%s must be 1 to %d printable ASCII characters.", headerIdempotencyKey, maxKeyLength)
	}
	ex.Idempotent = idempotentByDefault(ex)
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

func validKey(key string) bool {
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

// readDuration reads a header that holds a duration such as "1.5s", or a whole
// number of milliseconds. A missing header yields standard.
func readDuration(ex *pipeline.Exchange, name string, standard, most time.Duration) (time.Duration, *result.Error) {
	text := ex.Header[name]
	if text == "" {
		return standard, nil
	}
	value, err := parseDuration(text)
	if err != nil || value <= 0 || value > most {
		return 0, result.New(result.BadHeader, "%s must be a duration such as 1.5s, or milliseconds, over 0 and up to %s.", name, most)
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
