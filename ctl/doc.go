// Package ctl is the library behind walnutctl: a client of the operator API
// that sends patches so that each takes effect at most once, loads and compares
// declarations, and waits until a version is in force on every router.
//
// Each patch has an id. When the outcome of a send is unknown, the client sends
// the patch again with the same id, so that it is accepted at most once. Errors
// are *Error with an exit code and a sentence that says what to do next.
package ctl
