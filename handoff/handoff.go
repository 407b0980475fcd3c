// Package handoff forwards requests from an overloaded router to other routers of its data
// centre, which parse, schedule and answer them. The overloaded router only copies the answer. A
// request is offered to a bounded number of routers, and a router that accepts it does not hand
// it off again.
//
// Each request uses a separate connection. The sender writes a preface and the request as
// received. The receiver writes the answer, or busyByte if it refuses the request, and closes the
// connection.
package handoff

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/walnutcove/walnutcove/config"
)

// busyByte is sent instead of an answer by a receiver that refuses the request. No HTTP response
// starts with it.
const busyByte = 0

// prefaceMagic starts each preface.
const prefaceMagic = 0x77_63_68_31

// prefaceSize is the encoded size of a preface: magic, version and revision.
const prefaceSize = 4 + 8 + 8

var errBadMagic = errors.New("handoff: preface has wrong magic number")

// Preface holds the versions in force at the sender. A receiver with older versions refuses the
// request, so that callers never see a version go backwards.
type Preface struct {
	Version        config.Version
	ConfigRevision config.Revision
}

// PrefaceOf returns the preface for a snapshot.
func PrefaceOf(s *config.Snapshot) Preface {
	return Preface{Version: s.Version, ConfigRevision: s.ConfigRevision}
}

// AtLeast reports whether the versions in p are the same as or newer than those in other.
func (p Preface) AtLeast(other Preface) bool {
	return p.Version > other.Version || p.Version == other.Version && p.ConfigRevision >= other.ConfigRevision
}

// append appends the encoded preface to a buffer.
func (p Preface) append(to []byte) []byte {
	to = binary.BigEndian.AppendUint32(to, prefaceMagic)
	to = binary.BigEndian.AppendUint64(to, uint64(p.Version))
	return binary.BigEndian.AppendUint64(to, uint64(p.ConfigRevision))
}

// ReadPreface reads a preface from a connection, and no bytes after it.
func ReadPreface(conn net.Conn) (Preface, error) {
	var b [prefaceSize]byte
	if _, err := io.ReadFull(conn, b[:]); err != nil {
		return Preface{}, fmt.Errorf("handoff: read the preface: %w", err)
	}
	if binary.BigEndian.Uint32(b[:]) != prefaceMagic {
		return Preface{}, errBadMagic
	}
	return Preface{
		Version:        config.Version(binary.BigEndian.Uint64(b[4:])),
		ConfigRevision: config.Revision(binary.BigEndian.Uint64(b[12:])),
	}, nil
}

// Refuse tells the sender that the request is refused.
func Refuse(conn net.Conn) error {
	_, err := conn.Write([]byte{busyByte})
	return err
}
