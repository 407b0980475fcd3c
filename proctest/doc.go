// Package proctest holds process tests: real walnutd processes with stand-in
// targets and the platform's stand-in, a fault-injecting proxy on every way
// between them, and one file of tests for each thing that must always hold.
// docs/PROOFS.md lists them. The judges are the targets' own journals and what
// callers saw; a test waits on events and gives no verdict from tight timing.
package proctest
