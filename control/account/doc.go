// Package account keeps one level for each workspace over the whole fleet: the
// normalised service that it received, and what it was lifted by when it woke
// from idleness.
//
// Every scheduler counts the service that it gave (Entry) and reports the count,
// and the level that it knows, to the accounting node of the workspace. That
// node adds the growth of the count to its level, or takes the reported level if
// that is higher (Totals), and sends the level back with the part of it that
// came from the receiver. A scheduler's own level is the highest that it was
// told without its own part, and its own part. So a lost, late or doubled message
// changes nothing for long, a scheduler that starts anew learns the level, and an
// accounting node that starts anew is told it.
//
// What is given while a scheduler and the accounting node cannot talk for longer
// than 3 s is not made up later. When the accounting moves to another node, part of
// what is given in one exchange period may not count; nothing counts twice.
//
// Service is normalised: slot time in seconds divided by the share.
package account
