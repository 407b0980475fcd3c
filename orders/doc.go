// Package orders reconciles targets with the state that the configuration declares
// for them: the models that they must have loaded, and their role.
//
// The router that schedules a target compares the declared state with the state
// that the target reports, and sends an order if they differ. It checks again every
// few seconds, so a target that lost its state, or applied a late order, is
// corrected.
//
// Each order carries the configuration version that requires it as its fencing
// number. Versions are agreed on through the platform's table and never decrease,
// so neither a lease nor another row is needed. Orders of the same version commute
// and are idempotent, so two routers that both act as the scheduler of a target do no
// harm.
//
// A target that checks fencing numbers rejects the orders of a router with an
// outdated version. A target that does not check them, or has not stored a number
// yet, is sent an order only if a recent read of the table found no newer version.
// The remaining risk is an order that was sent within that time and is applied
// late; the next check of the target corrects its effect. See
// docs/design/0007-orders.md.
//
// Before a model is loaded, a permit of the platform's weight store is requested,
// so that a change of the whole fleet does not overload the store.
package orders
