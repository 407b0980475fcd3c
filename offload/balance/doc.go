// Package balance decides which requests an overloaded router offloads, to which routers, and how
// many of them those accept. It uses no clock, network or goroutine: times are passed in, as
// durations since a start that the caller chooses, and randomness is injected.
package balance
