package cli

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/walnutcove/walnutcove/ctl"
	"github.com/walnutcove/walnutcove/peer/testkeys"
)

// maxKeyBytes is the maximum length of a key on standard input.
const maxKeyBytes = 4096

type keysCommand struct {
	Hash     hashCommand     `cmd:"" help:"Print the SHA-256 of a key read from standard input, for key_hashes."`
	MakePeer makePeerCommand `cmd:"" help:"Make a certificate authority and the peer keys of routers, for trials."`
}

type hashCommand struct{}

// Run prints the hash of a key. Whitespace around the key is ignored.
func (hashCommand) Run(a *app) error {
	raw, err := io.ReadAll(io.LimitReader(a.In, maxKeyBytes+1))
	if err != nil {
		return usageError("the key cannot be read: %v", err)
	}
	key := bytes.TrimSpace(raw)
	if len(key) == 0 || len(raw) > maxKeyBytes {
		return usageError("the key must have 1 to %d bytes on standard input", maxKeyBytes)
	}
	digest := sha256.Sum256(key)
	a.printf("%s\n", hex.EncodeToString(digest[:]))
	return nil
}

type makePeerCommand struct {
	Dir       string        `arg:"" help:"Directory to write to; made if needed." type:"path"`
	Nodes     []string      `arg:"" help:"Names of the routers, as node.name in their settings."`
	Lifetime  time.Duration `help:"How long the certificates are valid." default:"720h"`
	Overwrite bool          `help:"Replace the keys of a directory that holds some. Every router then needs its new ones."`
}

// Run writes a certificate authority and each router's certificate and key.
func (c *makePeerCommand) Run(a *app) error {
	ca := filepath.Join(c.Dir, testkeys.CAFile)
	if _, err := os.Stat(ca); err == nil && !c.Overwrite {
		e := usageError("%s exists; the authority's key is not kept, so no node can be added to it", ca)
		e.Next = "make the keys of all routers again with --overwrite, or name another directory"
		return e
	}
	err := testkeys.Make(c.Dir, c.Lifetime, c.Nodes...)
	if errors.Is(err, testkeys.ErrBadName) {
		return usageError("%v", err)
	}
	if err != nil {
		return &ctl.Error{Exit: ctl.ExitFailure, Summary: "the keys cannot be written: " + err.Error(), Cause: err}
	}
	for _, node := range c.Nodes {
		files := testkeys.FilesOf(c.Dir, node)
		a.printf("made node=%s cert_file=%s key_file=%s ca_file=%s\n", node, files.CertFile, files.KeyFile, files.CAFile)
	}
	return nil
}
