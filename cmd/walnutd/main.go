// Command walnutd is one router of a walnutcove fleet: see docs/OPERATORS.md.
package main

import (
	"os"

	"github.com/walnutcove/walnutcove/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
