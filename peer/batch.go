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
	// fullBatchMessages is the number of queued messages at which a batch is
	// written without waiting for more.
	fullBatchMessages = 256
	// maxFlushBurst bounds the flushes made without a wait between them.
	maxFlushBurst = 32
	// maxKeptBufferBytes bounds the write buffer that is kept between flushes.
	maxKeptBufferBytes = 16 << 10
)

// wake signals the writer that messages are queued, and whether they make a full batch.
func (s *session) wake(queued int) {
	signal(s.pending)
	if queued >= fullBatchMessages {
		signal(s.batchFull)
	}
}

// signal puts a token into a channel of capacity 1 unless it holds one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// writeLoop sends the messages queued on the link: at once while flushes are
// rare, else in batches.
func (s *session) writeLoop() {
	encoder := wire.NewEncoder(s.mesh.self, s.remote, s.mesh.counters.observer(directionOut))
	var buffer bytes.Buffer
	limiter := rate.NewLimiter(rate.Every(s.mesh.options.FlushInterval), maxFlushBurst)
	signal(s.pending) // messages may have been queued before the session opened
	for s.awaitBatch(limiter) {
		messages := s.link.takeQueue(s)
		if len(messages) == 0 {
			continue
		}
		s.encode(encoder, &buffer, messages)
		if !s.flush(&buffer, len(messages)) {
			return
		}
	}
}

// awaitBatch waits for messages and, if the flush rate is at its limit, for more
// of them. It returns false when the session ends.
func (s *session) awaitBatch(limiter *rate.Limiter) bool {
	select {
	case <-s.pending:
	case <-s.ctx.Done():
		return false
	}
	reservation := limiter.Reserve()
	wait := min(reservation.Delay(), s.mesh.options.FlushInterval)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.batchFull:
		reservation.Cancel()
	case <-s.ctx.Done():
		return false
	}
	return true
}

// encode appends frames with the messages to the buffer. Messages that can't be
// encoded are dropped.
func (s *session) encode(encoder *wire.Encoder, buffer *bytes.Buffer, messages []control.Message) {
	messages = wire.SplitServiceCounts(messages)
	for len(messages) > 0 {
		frame, taken, err := encoder.EncodeFrame(messages)
		if err != nil {
			s.mesh.counters.countDropped(dropNotEncodable, 1)
			s.mesh.log.Error("peer: Encoding a message failed; it is dropped.", "node", s.remote.Node, "error", err)
		}
		messages = messages[taken:]
		if _, err := protodelim.MarshalTo(buffer, frame); err != nil {
			s.mesh.log.Error("peer: Encoding a frame failed; its messages are dropped.", "node", s.remote.Node, "error", err)
		}
	}
}

// flush writes the buffer and empties it. It ends the session on an error.
func (s *session) flush(buffer *bytes.Buffer, count int) bool {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.stream.SetWriteDeadline(time.Now().Add(s.mesh.options.WriteTimeout))
	_, err := s.stream.Write(buffer.Bytes())
	buffer.Reset()
	if buffer.Cap() > maxKeptBufferBytes {
		*buffer = bytes.Buffer{}
	}
	s.mesh.counters.flushes.Inc()
	s.usedAt.Store(int64(s.mesh.age()))
	if err == nil {
		return true
	}
	s.mesh.counters.countDropped(dropWriteFailed, count)
	if errors.Is(err, yamux.ErrTimeout) || errors.Is(err, yamux.ErrConnectionWriteTimeout) {
		s.end(endStalled)
	} else {
		s.end(endLost)
	}
	return false
}

// closeGracefully sends the other side the reason and ends the session.
func (s *session) closeGracefully(reason endReason) {
	closing := peerpb.Closing_CLOSING_SHUTDOWN
	if reason == endIdle {
		closing = peerpb.Closing_CLOSING_IDLE
	}
	s.mu.Lock()
	s.announcedEnd = reason
	s.mu.Unlock()
	select {
	case <-s.started:
		s.sendClosing(closing)
	default:
	}
	s.end(reason)
}

// sendClosing sends the last frame of a session.
func (s *session) sendClosing(closing peerpb.Closing) {
	var buffer bytes.Buffer
	if _, err := protodelim.MarshalTo(&buffer, &peerpb.Frame{Closing: closing}); err != nil {
		return
	}
	if !s.writeMu.TryLock() {
		return // a blocked writer would delay the end of the session
	}
	defer s.writeMu.Unlock()
	_ = s.stream.SetWriteDeadline(time.Now().Add(s.mesh.options.WriteTimeout))
	_, _ = s.stream.Write(buffer.Bytes())
}

// readLoop delivers the other side's messages until the session ends.
func (s *session) readLoop() {
	decoder := wire.NewDecoder(s.remote, s.mesh.self, s.mesh.counters.observer(directionIn))
	reader := bufio.NewReader(s.stream)
	for {
		messages, reason := s.readFrame(reader, decoder)
		if reason != "" {
			s.end(reason)
			return
		}
		s.markUsed()
		if len(messages) > 0 {
			s.link.deliver(s, messages)
		}
	}
}

// readFrame reads the messages of one frame, or returns the reason for which the
// session must end.
func (s *session) readFrame(reader *bufio.Reader, decoder *wire.Decoder) ([]control.Message, endReason) {
	frame := &peerpb.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: wire.MaxFrameBytes}
	err := options.UnmarshalFrom(reader, frame)
	if err != nil {
		return nil, s.readErrorReason(err)
	}
	messages, err := decoder.DecodeFrame(frame)
	if err != nil {
		s.mesh.log.Warn("peer: Invalid frame received.", "node", s.remote.Node, "error", err)
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

// readErrorReason distinguishes a broken connection from an invalid frame.
func (s *session) readErrorReason(err error) endReason {
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
