// Package proctest holds process tests: real walnutd processes with stand-in
// targets and a stand-in platform, a fault-injecting proxy on every connection
// between them, and one file of tests for each guarantee that must always hold.
// docs/PROOFS.md lists the guarantees. The tests check the targets' own journals
// and the results that callers saw. They wait for events, and no check depends
// on tight timing.
package proctest
