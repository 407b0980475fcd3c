// Package sched holds the parts of the scheduler of one shard that need no
// knowledge of messages: the fair queue over workspaces, the window that keeps
// a target just full, and the estimate of a request's cost.
//
// Nothing here reads a clock: callers pass the time.
package sched
