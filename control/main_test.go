package control

import (
	"flag"
	"os"
	"testing"
)

// TestMain uses a fixed seed for the property tests unless a flag sets one, so that their
// runs can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
