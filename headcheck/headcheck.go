// Package headcheck finds heads of HTTP/1 answers that RFC 9112 does not allow and that fasthttp accepts: fasthttp
// reports status 000 as 200, passes on names with blanks, and ignores the transfer coding of an HTTP/1.0 answer. All
// else that it refuses by itself is not checked again.
package headcheck

import (
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"
)

// Errors of heads that are no answer.
var (
	// ErrVersion reports an answer that is not HTTP/1.
	ErrVersion = errors.New("headcheck: answer is not HTTP/1")
	// ErrStatus reports a status outside 100 to 599, or 101, as no client asks for another protocol.
	ErrStatus = errors.New("headcheck: invalid status")
	// ErrReason reports a control character in the reason phrase.
	ErrReason = errors.New("headcheck: invalid reason phrase")
	// ErrCoding reports a transfer coding in an answer that is not HTTP/1.1, which the parser would take for a part of the
	// body. RFC 9112 (section 6.1) has clients treat such an HTTP/1.0 answer as faulty.
	ErrCoding = errors.New("headcheck: transfer coding in an answer that is not HTTP/1.1")
	// ErrFieldName reports a field whose name contains a blank.
	ErrFieldName = errors.New("headcheck: blank in the name of a field")
)

// Checker checks the head of an answer, and the heads of interim answers before it, while their bytes arrive. It ignores
// the bytes after the head. The zero value expects a head.
type Checker struct {
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// inFields is set after the status line of a head, and done after the head of the final answer.
	inFields, done bool
	// interim and http11 are what the status line says.
	interim, http11 bool
}

// Reset makes the checker expect a head.
func (c *Checker) Reset() { *c = Checker{line: c.line[:0]} }

// Check checks the next bytes. If they hold a line that is not allowed, it returns an error and the number of bytes
// before the end of that line. A parser that gets no more than these does not see a complete head.
func (c *Checker) Check(p []byte) (allowed int, err error) {
	for start := 0; !c.done; {
		length := bytes.IndexByte(p[start:], '\n')
		if length < 0 {
			c.line = append(c.line, p[start:]...)
			break
		}
		line := p[start : start+length]
		if len(c.line) > 0 {
			line = append(c.line, line...)
			c.line = line[:0]
		}
		if err := c.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return start + length, err
		}
		start += length + 1
	}
	return len(p), nil
}

// checkLine checks a line without its end.
func (c *Checker) checkLine(line []byte) error {
	switch {
	case len(line) == 0:
		c.done = c.inFields && !c.interim
		c.inFields = false
		return nil
	case c.inFields:
		return c.checkField(line)
	default:
		c.inFields = true
		return c.checkStatusLine(line)
	}
}

// The parts of a status line. The parser checks the minor version and that a status has three digits.
const (
	versionPrefix     = "HTTP/1."
	version11         = "HTTP/1.1"
	maxStatusDigit    = '5'
	interimDigit      = '1'
	switchedProtocols = "101"
)

func (c *Checker) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(version, []byte(versionPrefix)) {
		return ErrVersion
	}
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(status) == 0 || status[0] < interimDigit || status[0] > maxStatusDigit || string(status) == switchedProtocols {
		return ErrStatus
	}
	if bytes.ContainsFunc(reason, isControl) {
		return ErrReason
	}
	c.interim, c.http11 = status[0] == interimDigit, string(version) == version11
	return nil
}

// checkField checks a line after the status line. RFC 9112 has clients accept blanks between a name and its colon (section
// 5.1) and the continuation of a value on a line that begins with a blank (section 5.2).
func (c *Checker) checkField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return nil
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	name = bytes.TrimRight(name, " ")
	switch {
	case bytes.IndexByte(name, ' ') >= 0:
		return ErrFieldName
	case !c.http11 && bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
		return ErrCoding
	}
	return nil
}

// isControl reports whether a character may not stand in a line of a head.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
