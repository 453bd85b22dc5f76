// Package usage counts the requests of customers by window and reports each window once
// for the whole fleet.
//
// Each daemon counts in a Ledger what it sent to upstreams, and sends copies to two other
// daemons, so that the counts survive it. The daemon that holds the duties collects the
// counts of a window after its end, writes them to a row of the store on the condition
// that there is none, and reports what the row says. docs/design/0003-metering.md
// describes failures and costs.
//
// Ledger, Clock, copies, collection and reporter are pure. Meter connects them to peers,
// the store and the platform's API.
package usage
