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
	// protocolVersion is raised by changes that are incompatible with older nodes.
	protocolVersion = 2
	maxHelloBytes   = 1 << 10
)

var (
	errInvalidHello     = errors.New("invalid hello")
	errWrongCertificate = errors.New("certificate is not for this node")
)

// byteReader is an unbuffered io.ByteReader. It consumes no bytes after the
// hello, which belong to the yamux session.
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
		return nil, fmt.Errorf("%w: %w", errInvalidHello, err)
	}
	return hello, nil
}

// checkHello returns the origin of the other side, and the reason if its hello
// is rejected.
func checkHello(hello *peerpb.Hello, conn net.Conn) (wire.Origin, failReason) {
	origin := wire.Origin{
		Node:        control.NodeID(hello.GetNode()),
		Incarnation: control.Incarnation(hello.GetIncarnation()),
	}
	protocol := uint32(protocolVersion)
	if hello.GetChannel() != "" {
		protocol = channelProtocol
	}
	if hello.GetProtocol() != protocol {
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

// checkIdentity checks that the verified certificate of a TLS connection is for
// the node. Connections without TLS always pass.
func checkIdentity(conn net.Conn, node control.NodeID) error {
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := secure.ConnectionState().PeerCertificates
	if len(certificates) == 0 || !isCertificateFor(certificates[0], node) {
		return errWrongCertificate
	}
	return nil
}

// isCertificateFor reports whether a certificate is for a node: its common name,
// one of its DNS names or one of its URIs equals the node's name.
func isCertificateFor(certificate *x509.Certificate, node control.NodeID) bool {
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

// wireRefusals maps the reasons of this package to the reasons on the wire.
var wireRefusals = map[failReason]peerpb.Refused{
	failProtocol:  peerpb.Refused_REFUSED_PROTOCOL,
	failDuplicate: peerpb.Refused_REFUSED_DUPLICATE,
	failIdentity:  peerpb.Refused_REFUSED_IDENTITY,
	failStale:     peerpb.Refused_REFUSED_STALE,
	failWrongNode: peerpb.Refused_REFUSED_WRONG_NODE,
	failLimit:     peerpb.Refused_REFUSED_LIMIT,
	failClosed:    peerpb.Refused_REFUSED_LIMIT,
	failChannel:   peerpb.Refused_REFUSED_NO_CHANNEL,
}

// failReasonFor translates the reason that the other side sent.
func failReasonFor(refused peerpb.Refused) failReason {
	for reason, wireReason := range wireRefusals {
		if wireReason == refused && reason != failClosed {
			return reason
		}
	}
	return failHello
}
