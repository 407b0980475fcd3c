// Package sched holds the parts of one shard's scheduler that don't depend on messages:
// the fair queue over workspaces, the max-min shares of a pool, the window of grants
// that keeps a target just full, the model of targets that read prompts and generate
// tokens, and the estimate of a request's cost.
//
// Nothing here reads a clock: callers pass the time.
package sched
