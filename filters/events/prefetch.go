package events

import (
	"fmt"
	"io"
	"sync"
)

// maxPrefetchBytes limits the bytes that are read ahead of one stream.
const maxPrefetchBytes = 64 << 10

// prefetcher reads a source ahead, so that the end of a stream whose events are gathered is known
// at once. Otherwise its target would count as busy, and its caller would wait, for as long as
// events are gathered, which is longer than many streams last.
type prefetcher struct {
	source io.ReadCloser
	// ended is closed when the source has ended, and full gets a value when nothing more is read
	// ahead: it is no use to gather any longer.
	ended chan struct{}
	full  chan struct{}

	mu      sync.Mutex
	changed sync.Cond
	// unread holds the bytes read ahead, and err is why the source has ended.
	unread []byte
	err    error
	closed bool
	// hold accounts for the memory of unread, and limit is how many bytes are read ahead: fewer
	// once there was no room for more.
	hold  func(bytes int) bool
	limit int
}

func newPrefetcher(source io.ReadCloser, hold func(bytes int) bool) *prefetcher {
	p := &prefetcher{source: source, hold: hold, limit: maxPrefetchBytes, ended: make(chan struct{}), full: make(chan struct{}, 1)}
	p.changed.L = &p.mu
	go p.run()
	return p
}

// run reads the source to its end.
func (p *prefetcher) run() {
	defer close(p.ended)
	buffer := make([]byte, minBufferBytes)
	for {
		n, err := readSafely(p.source, buffer)
		if !p.add(buffer[:n], err) {
			return
		}
	}
}

// readSafely turns a panic of a source into an error.
func readSafely(source io.Reader, buffer []byte) (n int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			n, err = 0, fmt.Errorf("events: target's response panicked: %v", cause)
		}
	}()
	return source.Read(buffer)
}

// add adds the result of a read, waits until there is room for more, and reports whether more is
// to be read.
func (p *prefetcher) add(read []byte, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := cap(p.unread)
	p.unread = append(p.unread, read...)
	if grown := cap(p.unread) - size; grown > 0 && !p.hold(grown) {
		prefetchFullCount.Inc()
		p.limit = max(1, size)
	}
	p.err = err
	p.changed.Broadcast()
	for len(p.unread) >= p.limit && !p.closed && err == nil {
		select {
		case p.full <- struct{}{}:
		default: // not taken yet
		}
		p.changed.Wait()
	}
	return err == nil && !p.closed
}

// Read implements io.Reader.
func (p *prefetcher) Read(into []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.unread) == 0 && p.err == nil {
		if p.closed {
			return 0, io.ErrClosedPipe
		}
		p.changed.Wait()
	}
	n := copy(into, p.unread)
	p.unread = p.unread[:copy(p.unread, p.unread[n:])]
	p.changed.Broadcast()
	if n == 0 {
		return 0, p.err
	}
	return n, nil
}

// Close implements io.Closer.
func (p *prefetcher) Close() error {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	return p.source.Close()
}
