// Package tlsfiles loads the certificate, key and CA certificates for the sessions
// between routers. Both sides present a certificate and verify the other's.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

var (
	// ErrIncomplete is returned if only some of the three files are set.
	ErrIncomplete = errors.New("cert_file, key_file and ca_file must be set together")
	// ErrNoCertificate reports that the CA file holds no certificate or that the
	// other side presented none.
	ErrNoCertificate = errors.New("no certificate")
)

// Load returns a TLS configuration for both ends of a session, read from PEM files.
// It returns nil if no file is set. The certificate must be valid for client and
// server authentication. The CA file may hold several certificates, for example
// while one CA is replaced by another.
func Load(certFile, keyFile, caFile string) (*tls.Config, error) {
	if certFile == "" && keyFile == "" && caFile == "" {
		return nil, nil
	}
	if certFile == "" || keyFile == "" || caFile == "" {
		return nil, ErrIncomplete
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	roots, err := loadRoots(caFile)
	if err != nil {
		return nil, err
	}
	return newConfig(certificate, roots), nil
}

func loadRoots(caFile string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("load CA: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("load CA %s: %w", caFile, ErrNoCertificate)
	}
	return roots, nil
}

// newConfig returns a configuration that verifies certificate chains in
// VerifyConnection. The standard library's check on the client side is off, since
// it requires the server's IP address or DNS name in the certificate; package peer
// compares the certificate with the node's name instead.
func newConfig(certificate tls.Certificate, roots *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              roots,
		InsecureSkipVerify:     true, // VerifyConnection verifies the chain
		VerifyConnection:       func(state tls.ConnectionState) error { return verify(state, roots) },
		SessionTicketsDisabled: true,
	}
}

// verify checks that the other side's chain is valid for client and for server
// authentication.
func verify(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return ErrNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
		options := x509.VerifyOptions{
			Roots:         roots,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		if _, err := state.PeerCertificates[0].Verify(options); err != nil {
			return err
		}
	}
	return nil
}
