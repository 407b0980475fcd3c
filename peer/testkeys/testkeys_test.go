package testkeys

import (
	"errors"
	"os"
	"testing"
	"time"

	"github.com/walnutcove/walnutcove/peer/tlsfiles"
)

func TestMake(t *testing.T) {
	directory := t.TempDir()
	if err := Make(directory, time.Hour, "router-1", "router-2"); err != nil {
		t.Fatal(err)
	}
	for _, node := range []string{"router-1", "router-2"} {
		files := FilesOf(directory, node)
		config, err := tlsfiles.Load(files.CertFile, files.KeyFile, files.CAFile)
		if err != nil {
			t.Fatal(err)
		}
		leaf := config.Certificates[0].Leaf
		if leaf.Subject.CommonName != node {
			t.Errorf("certificate of %s is for %s", node, leaf.Subject.CommonName)
		}
		if validFor := time.Until(leaf.NotAfter); validFor > time.Hour || validFor < 50*time.Minute {
			t.Errorf("certificate is valid for %s", validFor)
		}
		info, err := os.Stat(files.KeyFile)
		if err != nil {
			t.Fatal(err)
		}
		if info.Mode().Perm() != keyFileMode {
			t.Errorf("key file has mode %v", info.Mode())
		}
	}
}

func TestMakeRejectsUnusableNames(t *testing.T) {
	for _, name := range []string{"", "ca", "..", "../a", "a/b", ".hidden"} {
		if err := Make(t.TempDir(), 0, name); !errors.Is(err, ErrBadName) {
			t.Errorf("name %q: error %v", name, err)
		}
	}
}
