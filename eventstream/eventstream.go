// Package eventstream finds the ends of events in streams of server-sent events, the media
// type text/event-stream of the HTML standard.
package eventstream

import "strings"

// mediaType is the media type of event streams.
const mediaType = "text/event-stream"

// IsMediaType reports whether the value of a Content-Type header is that of an event stream.
func IsMediaType(contentType string) bool {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(name), mediaType)
}

// Scanner follows an event stream that arrives in parts. Lines end with LF, CR or CRLF; an
// empty line ends an event. The zero Scanner is at the beginning of a stream.
type Scanner struct {
	// inLine is set if the current line has any bytes, isComment if it begins with a colon.
	inLine, isComment bool
	// inEvent is set from the end of the first line of an event until its empty line.
	inEvent bool
	// afterCR is set if the last byte is a CR, whose LF may follow.
	afterCR bool
	// usesCRLF is set if the last line end was a CRLF, apart from a CR whose LF may follow.
	usesCRLF bool
	// awaitsLF is set if the last event ends with the LF that is expected next.
	awaitsLF bool
	// scanned is the number of bytes read, complete that up to the end of the last event.
	scanned, complete int64
	// events counts the complete events.
	events int
}

// Scan reads the next bytes of the stream.
func (s *Scanner) Scan(p []byte) {
	for i, c := range p {
		offset := s.scanned + int64(i)
		if s.afterCR && c == '\n' {
			s.resolveCR(true, offset+1)
			continue
		}
		if s.afterCR {
			s.resolveCR(false, offset)
		}
		switch c {
		case '\n':
			s.usesCRLF = false
			if s.endLine() {
				s.endEvent(offset + 1)
			}
		case '\r':
			s.afterCR = true
			if s.endLine() {
				s.endEventAtCR(offset + 1)
			}
		default:
			if !s.inLine {
				s.inLine, s.isComment = true, c == ':'
			}
		}
	}
	s.scanned += int64(len(p))
}

// resolveCR is called at the byte after a CR. It ends the line end, and the event that waits for
// its LF, at the given offset.
func (s *Scanner) resolveCR(isCRLF bool, end int64) {
	if s.awaitsLF {
		s.endEvent(end)
	}
	s.afterCR, s.usesCRLF, s.awaitsLF = false, isCRLF, false
}

// endEventAtCR ends an event whose empty line ends with a CR, at the offset after it. In a
// stream whose lines end with CRLF, the event ends with the LF that follows.
func (s *Scanner) endEventAtCR(end int64) {
	if s.usesCRLF {
		s.awaitsLF = true
		return
	}
	s.endEvent(end)
}

// endEvent records an event that ends at an offset.
func (s *Scanner) endEvent(end int64) {
	s.complete = end
	s.events++
}

// Events returns the number of complete events in the stream.
func (s *Scanner) Events() int { return s.events }

// CompleteBytes returns the length of the stream up to the end of its last complete event; zero
// before the first.
func (s *Scanner) CompleteBytes() int64 { return s.complete }

// PendingBytes returns the length of the stream since the end of its last complete event.
func (s *Scanner) PendingBytes() int64 { return s.scanned - s.complete }

// endLine ends the current line and reports whether it ends an event.
func (s *Scanner) endLine() bool {
	if s.inLine {
		s.inLine = false
		s.inEvent = s.inEvent || !s.isComment
		return false
	}
	ended := s.inEvent
	s.inEvent = false
	return ended
}

// IsBetweenEvents reports whether the stream so far has at least one event and ends after an
// event or a comment, rather than inside one or in the middle of a line end. A stream that is
// cut off between two events cannot be distinguished from a whole one.
func (s *Scanner) IsBetweenEvents() bool {
	return s.complete > 0 && !s.IsInsideEvent()
}

// IsInsideEvent reports whether the stream so far ends inside an event or a comment, or in the middle of
// a line end.
func (s *Scanner) IsInsideEvent() bool {
	return s.inEvent || s.inLine || s.afterCR && s.usesCRLF
}
