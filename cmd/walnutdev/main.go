// Command walnutdev runs a small fleet with stand-ins for developers, or a
// single stand-in for process tests.
package main

import (
	"os"

	"github.com/walnutcove/walnutcove/devfleet/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
