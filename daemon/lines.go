package daemon

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// maxQueuedLines bounds the log lines that wait to be written. At about 250 bytes a
// line that is some 2 MB, or ten seconds of a busy router's log.
const maxQueuedLines = 8192

var droppedLines = metrics.GetOrCreateCounter(`walnut_log_lines_dropped_total`)

// lineWriter writes log lines on its own goroutine, so that a slow reader of the
// output never blocks a request. Lines beyond maxQueuedLines are dropped and
// counted.
type lineWriter struct {
	lines chan []byte
	done  chan struct{}
	close sync.Once
}

func newLineWriter(out io.Writer) *lineWriter {
	w := &lineWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
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

// run writes the queued lines in batches, as each write is a system call.
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
		// A failed write is counted but not logged: there is no other output.
		if _, err := out.Write(batch); err != nil {
			droppedLines.Inc()
		}
	}
}

// maxBatchBytes is the size from which a batch takes no more lines. Writes to a pipe are
// atomic up to 4 KiB, and a line is about 250 bytes.
const maxBatchBytes = 3500

// Close writes the queued lines and stops the goroutine. No Write may follow.
func (w *lineWriter) Close() {
	w.close.Do(func() { close(w.lines) })
	<-w.done
}
