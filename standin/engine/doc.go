// Package engine is a stand-in for a model engine, to be embedded in tests,
// benches and the developer's fleet. It speaks the OpenAI-style completions
// calls, batches continuously over a fixed number of slots, caches prompt
// prefixes, reports its load with a lag, takes orders, and fails on command.
//
// The text of an answer is a function of its request alone (ExpectedText), so
// that a checker can tell a whole answer from a broken, crossed or mixed one.
package engine
