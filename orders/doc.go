// Package orders brings targets into the state that the configuration declares
// for them: the models that they shall have loaded, and their role.
//
// The router that schedules a target compares what is declared with what the
// target reports, and gives an order when they differ. It looks again every few
// seconds, so a target that lost its state, or took a late order, is mended.
//
// Each order carries the configuration version that demanded it as fencing
// number. Versions are agreed on through the platform's table and never go
// back, so no lease and no further row is needed. Orders of one version
// commute and may be repeated: two routers that both think they schedule a
// target do no harm.
//
// A target that checks fencing numbers refuses an order of a router that is
// behind. To one that does not check, or that remembers no number, an order is
// given only while the table was read a moment ago and held no newer version.
// What is left of the danger then is an order that was written in that time and
// is taken late; the next look at the target mends what it did. See
// docs/design/0007-orders.md.
//
// Loading takes a permit of the platform's weight store first, so that a change
// of the whole fleet does not overrun it.
package orders
