package peer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
	"github.com/walnutcove/walnutcove/peer/wire"
)

const (
	// flushMessages ends the wait for more messages.
	flushMessages = 256
	// flushBurst is how many flushes may follow each other without a wait.
	flushBurst = 32
	// keptBufferBytes bounds the write buffer that an idle session keeps.
	keptBufferBytes = 16 << 10
)

// wake tells the writer how many messages wait.
func (s *session) wake(waiting int) {
	signal(s.work)
	if waiting >= flushMessages {
		signal(s.full)
	}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// write sends what waits on the link: at once while flushes are few, else in
// batches.
func (s *session) write() {
	encoder := wire.NewEncoder(s.mesh.self, s.remote, s.mesh.counters.observer(directionOut))
	var buffer bytes.Buffer
	pace := rate.NewLimiter(rate.Every(s.mesh.options.FlushEvery), flushBurst)
	signal(s.work) // for the messages that waited for the session
	for s.awaitBatch(pace) {
		messages := s.link.take(s)
		if len(messages) == 0 {
			continue
		}
		s.encode(encoder, &buffer, messages)
		if !s.flush(&buffer, len(messages)) {
			return
		}
	}
}

// awaitBatch waits for messages and, while flushes come fast, for more of them.
// It reports false at the session's end.
func (s *session) awaitBatch(pace *rate.Limiter) bool {
	select {
	case <-s.work:
	case <-s.ctx.Done():
		return false
	}
	turn := pace.Reserve()
	wait := min(turn.Delay(), s.mesh.options.FlushEvery)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.full:
		turn.Cancel()
	case <-s.ctx.Done():
		return false
	}
	return true
}

// encode appends the messages' frames to the buffer.
func (s *session) encode(encoder *wire.Encoder, buffer *bytes.Buffer, messages []control.Message) {
	messages = wire.Split(messages)
	for len(messages) > 0 {
		frame, taken, err := encoder.Frame(messages)
		if err != nil {
			s.mesh.counters.dropped(dropNotEncodable, 1)
			s.mesh.log.Error("peer: Message dropped.", "node", s.remote.Node, "error", err)
		}
		messages = messages[taken:]
		if _, err := protodelim.MarshalTo(buffer, frame); err != nil {
			s.mesh.log.Error("peer: Frame dropped.", "node", s.remote.Node, "error", err)
		}
	}
}

// flush writes the buffer and empties it. It ends the session on an error.
func (s *session) flush(buffer *bytes.Buffer, count int) bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	_ = s.stream.SetWriteDeadline(time.Now().Add(s.mesh.options.WriteTimeout))
	_, err := s.stream.Write(buffer.Bytes())
	buffer.Reset()
	if buffer.Cap() > keptBufferBytes {
		*buffer = bytes.Buffer{}
	}
	s.mesh.counters.flushes.Inc()
	s.usedAt.Store(int64(s.mesh.age()))
	if err == nil {
		return true
	}
	s.mesh.counters.dropped(dropWriteFailed, count)
	if errors.Is(err, yamux.ErrTimeout) || errors.Is(err, yamux.ErrConnectionWriteTimeout) {
		s.end(endStalled)
	} else {
		s.end(endLost)
	}
	return false
}

// farewell tells the other side why the session ends, and ends it.
func (s *session) farewell(reason endReason) {
	closing := peerpb.Closing_CLOSING_SHUTDOWN
	if reason == endIdle {
		closing = peerpb.Closing_CLOSING_IDLE
	}
	s.mu.Lock()
	s.leaving = reason
	s.mu.Unlock()
	select {
	case <-s.started:
		s.sendClosing(closing)
	default:
	}
	s.end(reason)
}

func (s *session) sendClosing(closing peerpb.Closing) {
	var buffer bytes.Buffer
	if _, err := protodelim.MarshalTo(&buffer, &peerpb.Frame{Closing: closing}); err != nil {
		return
	}
	if !s.writing.TryLock() {
		return // a writer that is blocked would hold up the end
	}
	defer s.writing.Unlock()
	_ = s.stream.SetWriteDeadline(time.Now().Add(s.mesh.options.WriteTimeout))
	_, _ = s.stream.Write(buffer.Bytes())
}

// read delivers what the other side sends, until the session's end.
func (s *session) read() {
	decoder := wire.NewDecoder(s.remote, s.mesh.self, s.mesh.counters.observer(directionIn))
	reader := bufio.NewReader(s.stream)
	for {
		messages, reason := s.readFrame(reader, decoder)
		if reason != "" {
			s.end(reason)
			return
		}
		s.used()
		if len(messages) > 0 {
			s.link.deliver(s, messages)
		}
	}
}

// readFrame reads one frame, or says why the session must end.
func (s *session) readFrame(reader *bufio.Reader, decoder *wire.Decoder) ([]control.Message, endReason) {
	frame := &peerpb.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: wire.MaxFrameBytes}
	err := options.UnmarshalFrom(reader, frame)
	if err != nil {
		return nil, s.readEnd(err)
	}
	messages, err := decoder.Messages(frame)
	if err != nil {
		s.mesh.log.Warn("peer: Frame refused.", "node", s.remote.Node, "error", err)
		return nil, endGarbage
	}
	switch frame.GetClosing() {
	case peerpb.Closing_CLOSING_IDLE:
		return nil, endIdle
	case peerpb.Closing_CLOSING_SHUTDOWN:
		return nil, endShutdown
	}
	return messages, ""
}

// readEnd tells a broken connection from a broken frame.
func (s *session) readEnd(err error) endReason {
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return endOversize
	case s.mux.IsClosed(), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, yamux.ErrConnectionReset):
		return endLost
	default:
		return endGarbage
	}
}
