// Package account adds up what each workspace received in the whole fleet.
//
// Every scheduler counts the service that it gave (Ledger) and sends the count,
// which only grows, to the accounting node of the workspace. That node adds up
// the growth of all contributors (Totals) and sends the sum back. Receivers use
// only the growth of the sum between two messages of the same accounting node,
// so a lost, late or doubled message changes nothing for long, and a restart of
// either side never makes a total fall.
//
// What is given while a scheduler and the accounting node cannot talk for longer
// than 3 s is not made up later. When the accounting of a workspace moves to a
// node that did it less than 3 s ago, or a report is delayed past such a move,
// the service of that time may be counted twice.
//
// Service is normalised: slot time in seconds divided by the share.
package account
