package tlsfiles_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/walnutcove/walnutcove/peer/testkeys"
	"github.com/walnutcove/walnutcove/peer/tlsfiles"
)

func TestLoadRejectsInvalidFiles(t *testing.T) {
	directory := t.TempDir()
	if err := testkeys.Make(directory, 0, "a", "b"); err != nil {
		t.Fatal(err)
	}
	a, b := testkeys.FilesOf(directory, "a"), testkeys.FilesOf(directory, "b")
	empty := filepath.Join(directory, "empty.pem")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := tlsfiles.Load(a.CertFile, b.KeyFile, a.CAFile); err == nil {
		t.Error("a key of another certificate was accepted")
	}
	if _, err := tlsfiles.Load(a.CertFile, a.KeyFile, empty); !errors.Is(err, tlsfiles.ErrNoCertificate) {
		t.Errorf("empty CA file: %v", err)
	}
	if _, err := tlsfiles.Load(a.CertFile, "", ""); !errors.Is(err, tlsfiles.ErrIncomplete) {
		t.Errorf("only a certificate: %v", err)
	}
	if config, err := tlsfiles.Load("", "", ""); config != nil || err != nil {
		t.Errorf("no files: %v, %v", config, err)
	}
}
