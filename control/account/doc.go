// Package account keeps one level for each workspace over the whole fleet: the
// normalised service that it received, plus the amounts by which it was raised when it
// became active after an idle time.
//
// Every scheduler counts the service that it gave (Entry), and reports the count and the
// level that it knows to the accounting node of the workspace. That node adds the growth
// of the count to its level, or adopts the reported level if that is higher (Totals),
// and sends back the level and the part of it that came from the receiver. A scheduler's
// own level is the highest that it received, without its own part, plus its own part. So
// lost, late and duplicate messages have no lasting effect, a scheduler that restarts
// learns the level, and an accounting node that restarts learns it from the schedulers.
//
// Service that is given while a scheduler and the accounting node cannot communicate for
// longer than 3 s is not added later. When the accounting moves to another node, part of
// the service of one exchange period may not count; nothing counts twice.
//
// Service is normalised: slot time in seconds divided by the share.
package account
