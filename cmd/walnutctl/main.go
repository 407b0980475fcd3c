// Command walnutctl is the operators' command line for a walnutcove fleet: see
// docs/OPERATORS.md.
package main

import (
	"os"

	"github.com/walnutcove/walnutcove/ctl/cli"
)

func main() {
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(cli.Main(os.Args[1:], streams)))
}
