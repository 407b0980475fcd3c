package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
)

const bearerPrefix = "Bearer "

// keyring holds the digests of the operators' keys.
type keyring struct{ digests [][sha256.Size]byte }

// newKeyring decodes hex SHA-256 digests. An empty list is allowed only if
// address is on loopback or open is set; then no request needs a key.
func newKeyring(keyHashes []string, address string, open bool) (keyring, error) {
	var keys keyring
	for i, text := range keyHashes {
		digest, err := hex.DecodeString(text)
		if err != nil || len(digest) != sha256.Size {
			return keyring{}, fmt.Errorf("operator key hash %d: want %d hex digits of SHA-256", i, 2*sha256.Size)
		}
		keys.digests = append(keys.digests, [sha256.Size]byte(digest))
	}
	if len(keys.digests) > 0 || open {
		return keys, nil
	}
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return keyring{}, fmt.Errorf("operator address %q: want ip:port: %w", address, err)
	}
	if !addrPort.Addr().Unmap().IsLoopback() {
		return keyring{}, fmt.Errorf("operator address %s is not on loopback: operators.key_hashes must not be empty", address)
	}
	return keys, nil
}

// allows reports whether an Authorization header carries a known key. It
// compares with every digest, so that the time taken reveals nothing about them.
func (k keyring) allows(authorization string) bool {
	if len(k.digests) == 0 {
		return true
	}
	key, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok {
		return false
	}
	digest := sha256.Sum256([]byte(key))
	found := 0
	for i := range k.digests {
		found |= subtle.ConstantTimeCompare(digest[:], k.digests[i][:])
	}
	return found == 1
}
