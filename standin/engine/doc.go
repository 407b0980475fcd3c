// Package engine is a stand-in for a model engine, for use in tests, benchmarks
// and the developer fleet. It serves OpenAI-style completion calls with continuous
// batching over a fixed number of slots, caches prompt prefixes, reports its load
// with a delay, carries out orders, and injects faults on request.
//
// The text of an answer depends on its request alone (see ExpectedText), so that a
// test can tell a complete answer from one that is truncated, belongs to another
// request, or mixes the answers to several requests.
package engine
