package cli

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
)

// maxKeyBytes bounds a key on standard input.
const maxKeyBytes = 4096

type keysCommand struct {
	Hash hashCommand `cmd:"" help:"Print the SHA-256 of a key read from standard input, for key_hashes."`
}

type hashCommand struct{}

// Run prints the hash of a key. Space around the key does not count.
func (hashCommand) Run(a *app) error {
	raw, err := io.ReadAll(io.LimitReader(a.In, maxKeyBytes+1))
	if err != nil {
		return usage("the key cannot be read: %v", err)
	}
	key := bytes.TrimSpace(raw)
	if len(key) == 0 || len(raw) > maxKeyBytes {
		return usage("the key must have 1 to %d bytes on standard input", maxKeyBytes)
	}
	digest := sha256.Sum256(key)
	a.printf("%s\n", hex.EncodeToString(digest[:]))
	return nil
}
