package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"slices"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/peer/peerpb"
	"github.com/walnutcove/walnutcove/peer/wire"
)

const (
	// protocolVersion changes when old and new nodes can't talk.
	protocolVersion = 1
	maxHelloBytes   = 1 << 10
)

var (
	errHello    = errors.New("bad hello")
	errIdentity = errors.New("certificate is not for this node")
)

// byteReader reads no further than asked, so that the bytes behind a hello stay
// for the yamux session.
type byteReader struct{ io.Reader }

// ReadByte implements io.ByteReader.
func (r byteReader) ReadByte() (byte, error) {
	var one [1]byte
	_, err := io.ReadFull(r.Reader, one[:])
	return one[0], err
}

func writeHello(conn net.Conn, hello *peerpb.Hello) error {
	_, err := protodelim.MarshalTo(conn, hello)
	return err
}

func readHello(conn net.Conn) (*peerpb.Hello, error) {
	hello := &peerpb.Hello{}
	options := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}
	if err := options.UnmarshalFrom(byteReader{conn}, hello); err != nil {
		return nil, fmt.Errorf("%w: %w", errHello, err)
	}
	return hello, nil
}

// checkHello returns the other side's origin, or why the hello is refused.
func checkHello(hello *peerpb.Hello, conn net.Conn) (wire.Origin, failure) {
	origin := wire.Origin{
		Node:        control.NodeID(hello.GetNode()),
		Incarnation: control.Incarnation(hello.GetIncarnation()),
	}
	if hello.GetProtocol() != protocolVersion {
		return origin, failProtocol
	}
	if origin.Node == "" || len(origin.Node) > wire.MaxNameBytes || origin.Incarnation == 0 {
		return origin, failHello
	}
	if err := checkIdentity(conn, origin.Node); err != nil {
		return origin, failIdentity
	}
	return origin, ""
}

// checkIdentity compares a node's name with the verified certificate of a TLS
// connection. Plain connections pass.
func checkIdentity(conn net.Conn, node control.NodeID) error {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := secure.ConnectionState().PeerCertificates
	if len(certificates) == 0 || !names(certificates[0], node) {
		return errIdentity
	}
	return nil
}

// names reports whether a certificate is for a node: its common name, a DNS
// name or a URI is the node's name.
func names(certificate *x509.Certificate, node control.NodeID) bool {
	if certificate.Subject.CommonName == string(node) {
		return true
	}
	if slices.Contains(certificate.DNSNames, string(node)) {
		return true
	}
	return slices.ContainsFunc(certificate.URIs, func(uri *url.URL) bool {
		return uri.String() == string(node)
	})
}

// refusals pairs the reasons of this side with those on the wire.
var refusals = map[failure]peerpb.Refused{
	failProtocol:  peerpb.Refused_REFUSED_PROTOCOL,
	failDuplicate: peerpb.Refused_REFUSED_DUPLICATE,
	failIdentity:  peerpb.Refused_REFUSED_IDENTITY,
	failStale:     peerpb.Refused_REFUSED_STALE,
	failWrongNode: peerpb.Refused_REFUSED_WRONG_NODE,
	failLimit:     peerpb.Refused_REFUSED_LIMIT,
	failClosed:    peerpb.Refused_REFUSED_LIMIT,
}

// refusedAs translates the reason that the other side gave.
func refusedAs(refused peerpb.Refused) failure {
	for reason, wireReason := range refusals {
		if wireReason == refused && reason != failClosed {
			return reason
		}
	}
	return failHello
}
