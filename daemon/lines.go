package daemon

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// queuedLines bounds the log lines that wait to be written. At about 250 bytes a
// line it is some 2 MB, and ten seconds of a busy router.
const queuedLines = 8192

var droppedLines = metrics.GetOrCreateCounter(`walnut_log_lines_dropped_total`)

// lineWriter writes log lines on a goroutine of its own, so that a slow reader of
// the output never blocks a request. Lines beyond its bound are dropped and
// counted.
type lineWriter struct {
	lines chan []byte
	done  chan struct{}
	close sync.Once
}

func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *lineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		droppedLines.Inc()
	}
	return len(line), nil
}

// run writes what has gathered in one piece, as each write is a system call.
func (w *lineWriter) run(out io.Writer) {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < maxBatchBytes; {
			select {
			case next, open := <-w.lines:
				batch = append(batch, next...)
				more = open
			default:
				more = false
			}
		}
		// A line that cannot be written has nowhere else to go.
		if _, err := out.Write(batch); err != nil {
			droppedLines.Inc()
		}
	}
}

// maxBatchBytes bounds one write of several lines: the system does not tear apart
// what one write puts into a pipe up to 4 KiB. A line is about 250 bytes.
const maxBatchBytes = 3500

// Close writes what waits. No Write may follow.
func (w *lineWriter) Close() {
	w.close.Do(func() { close(w.lines) })
	<-w.done
}
