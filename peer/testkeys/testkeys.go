// Package testkeys creates a certificate authority and node certificates for trial
// deployments and tests. The authority's key is never written to disk, so adding a
// node means creating all keys again.
package testkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// CAFile is the file name of the authority's certificate.
	CAFile = "ca.pem"
	// DefaultLifetime is how long the certificates are valid.
	DefaultLifetime = 30 * 24 * time.Hour
	// clockSkew backdates the start of the certificates' validity, for nodes
	// whose clock is behind.
	clockSkew        = time.Hour
	serialNumberBits = 127
	keyFileMode      = 0o600
	certFileMode     = 0o644
	directoryMode    = 0o700
)

// ErrBadName reports that a node's name can't be used as a file name.
var ErrBadName = errors.New("node name is not usable as a file name")

// Files are the paths of one node's certificate, key and CA certificate.
type Files struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// FilesOf returns the paths of the files that Make writes for a node.
func FilesOf(directory, node string) Files {
	return Files{
		CertFile: filepath.Join(directory, node+".pem"),
		KeyFile:  filepath.Join(directory, node+"-key.pem"),
		CAFile:   filepath.Join(directory, CAFile),
	}
}

// Make writes the certificate of a new authority, and a certificate and key for each
// node, into a directory, which it creates if needed. Existing files are
// overwritten. A lifetime of zero means DefaultLifetime.
func Make(directory string, lifetime time.Duration, nodes ...string) error {
	for _, node := range nodes {
		if node == "" || node == "ca" || node != filepath.Base(node) || strings.HasPrefix(node, ".") {
			return fmt.Errorf("%w: %q", ErrBadName, node)
		}
	}
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return err
	}
	ca, err := newAuthority(lifetime)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(directory, CAFile), "CERTIFICATE", ca.certificate.Raw, certFileMode); err != nil {
		return err
	}
	for _, node := range nodes {
		if err := ca.issue(FilesOf(directory, node), node, lifetime); err != nil {
			return fmt.Errorf("keys of %s: %w", node, err)
		}
	}
	return nil
}

// authority signs node certificates.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(lifetime time.Duration) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("walnutcove test authority", lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &authority{key: key, certificate: certificate}, err
}

// issue creates and writes a node's certificate and key.
func (a *authority) issue(files Files, node string, lifetime time.Duration) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := newTemplate(node, lifetime)
	if err != nil {
		return err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(files.KeyFile, "PRIVATE KEY", encodedKey, keyFileMode); err != nil {
		return err
	}
	return writePEM(files.CertFile, "CERTIFICATE", der, certFileMode)
}

func newTemplate(commonName string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	encoded := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return os.WriteFile(path, encoded, mode)
}
