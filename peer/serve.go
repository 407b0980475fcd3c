package peer

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/walnutcove/walnutcove/peer/peerpb"
)

// maxStreams bounds the streams of a session, including those that the other side
// has not closed yet.
const maxStreams = 512

// serveCalls answers the other side's calls until the session ends.
func (s *session) serveCalls() {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		if s.mux.NumStreams() > maxStreams {
			s.end(endStreams)
			return
		}
		if !s.mesh.spawn(func() { s.serveCall(stream) }) {
			stream.Close()
			return
		}
	}
}

// serveCall answers one call, or refuses it if Options.MaxCalls of the other side's
// calls are open.
func (s *session) serveCall(stream *yamux.Stream) {
	defer stream.Close()
	ctx, cancel := context.WithTimeout(s.ctx, s.mesh.options.CallTimeout)
	defer cancel()
	stop := interruptOnDone(ctx, stream)
	defer stop()
	select {
	case s.callSlots <- struct{}{}:
		defer func() { <-s.callSlots }()
	default:
		s.mesh.counters.countCall(directionIn, resultBusy)
		_ = writeMessage(stream, &peerpb.CallAnswer{Busy: true})
		return
	}
	s.openCalls.Add(1)
	defer s.openCalls.Add(-1)
	s.markUsed()
	s.mesh.counters.countCall(directionIn, callResult(s.answer(ctx, stream)))
}

// answer reads the request of a call, passes it to the handler and writes the
// answer.
func (s *session) answer(ctx context.Context, stream *yamux.Stream) error {
	request := &peerpb.CallRequest{}
	err := readMessage(stream, s.mesh.options.MaxCallBytes, request)
	if err != nil && !errors.Is(err, ErrCallTooLarge) {
		return wrapCallError(ctx, err)
	}
	answer := &peerpb.CallAnswer{}
	if err == nil {
		answer.Payload, err = s.handle(ctx, stream, request)
	}
	if err == nil && len(answer.Payload) > s.mesh.options.MaxCallBytes {
		err = ErrCallTooLarge
	}
	if err != nil {
		answer = &peerpb.CallAnswer{Error: err.Error()}
	}
	if writeErr := writeMessage(stream, answer); writeErr != nil {
		return wrapCallError(ctx, writeErr)
	}
	return err
}

// handle calls the handler. The handler's context ends when the calling side gives
// up and closes the stream.
func (s *session) handle(ctx context.Context, stream *yamux.Stream, request *peerpb.CallRequest) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetTimeLeft())*time.Microsecond)
	defer cancel()
	watched := s.mesh.spawn(func() {
		// The calling side sends no more data, so Read returns when it closes the stream.
		_, _ = stream.Read(make([]byte, 1))
		cancel()
	})
	if watched {
		defer func() { _ = stream.SetReadDeadline(time.Now()) }()
	}
	return s.mesh.handler.HandleCall(ctx, s.remote.Node, request.GetMethod(), request.GetPayload())
}

// writeMessage writes a message prefixed with its length.
func writeMessage(stream *yamux.Stream, message proto.Message) error {
	var buffer bytes.Buffer
	if _, err := protodelim.MarshalTo(&buffer, message); err != nil {
		return err
	}
	_, err := stream.Write(buffer.Bytes())
	return err
}

// readMessage reads a message prefixed with its length. Memory grows with the bytes
// received, not with the length in the prefix. A message that is too large is
// read and discarded, so that the other side can read the answer.
func readMessage(stream io.Reader, limit int, message proto.Message) error {
	length, err := binary.ReadUvarint(byteReader{stream})
	if err != nil {
		return err
	}
	if length > uint64(limit+maxCallOverheadBytes) {
		_, err := io.CopyN(io.Discard, stream, int64(min(length, math.MaxInt64)))
		return cmp.Or(err, ErrCallTooLarge)
	}
	encoded, err := io.ReadAll(io.LimitReader(stream, int64(length)))
	if err != nil {
		return err
	}
	if uint64(len(encoded)) < length {
		return io.ErrUnexpectedEOF
	}
	return proto.Unmarshal(encoded, message)
}
