// Package ctl is the library behind walnutctl: a client of the operator API
// that knows how to send a patch exactly once in effect, to load and compare
// declarations, and to wait until a version is in force on every router.
//
// A patch carries an id. When the outcome of sending it is unknown, the client
// sends it again under the same id, so it is accepted at most once. Errors are
// *Error with an exit code and a sentence that says what to do next.
package ctl
