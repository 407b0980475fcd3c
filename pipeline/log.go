package pipeline

import (
	"context"
	"log/slog"
)

// maxLoggedEventID bounds the bytes of a caller's event id in a log line.
const maxLoggedEventID = 32

// Log writes a log line about an exchange: the message, the exchange's id, the
// attributes that are known so far, and then attrs.
func Log(ctx context.Context, log *slog.Logger, level slog.Level, ex *Exchange, message string, attrs ...slog.Attr) {
	if !log.Enabled(ctx, level) {
		return
	}
	log.LogAttrs(ctx, level, message, append(ex.logAttrs(), attrs...)...)
}

// logAttrs returns the attributes that identify the exchange, leaving out those that
// are not known yet.
func (ex *Exchange) logAttrs() []slog.Attr {
	attrs := make([]slog.Attr, 0, 16)
	attrs = append(attrs, slog.String("request", ex.ID))
	for _, known := range []struct{ key, value string }{
		{"offloaded_from", ex.OffloadedFrom},
		{"workspace", ex.WorkspaceName},
		{"pool", ex.PoolName},
		{"target", ex.Target},
		{"software", ex.TargetSoftware},
		{"resumes", ex.ResumedRequest},
		{"resumes_after", ex.CallerEventID[:min(len(ex.CallerEventID), maxLoggedEventID)]},
	} {
		if known.value != "" {
			attrs = append(attrs, slog.String(known.key, known.value))
		}
	}
	if ex.Attempt > 0 {
		attrs = append(attrs, slog.Int("attempt", ex.Attempt))
	}
	if ex.AnswerFraming != "" {
		attrs = append(attrs, slog.String("framing", string(ex.AnswerFraming)))
	}
	return attrs
}
