// Package tlsfiles loads the certificate, key and CA that the sessions between
// routers use. Both sides present a certificate and verify the other's.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

var (
	// ErrIncomplete says that some of the three files are not named.
	ErrIncomplete = errors.New("cert_file, key_file and ca_file go together")
	// ErrNoCertificate says that the CA file or the other side has none.
	ErrNoCertificate = errors.New("no certificate")
)

// Load reads PEM files into a configuration for both ends of a session. It
// returns nil if no file is named. A node's certificate must be usable as a
// client's and as a server's, and the CA file may hold several certificates,
// as during the change from one CA to the next.
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

// newConfig verifies chains itself in place of the library's client check,
// which wants an IP number or DNS name in the certificate. Package peer
// compares the certificate with the node's name.
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

// verify checks the other side's chain for both roles.
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
