// Package mesh spreads monotone facts and configuration changes among daemons
// over a sparse peer graph, without a coordinator and without the platform.
//
// It exists so that a drain or a new configuration reaches every daemon within
// the 3 s bound while the table service is slow or down, and so that regions
// that were cut off agree again without conflict: facts form a join-semilattice,
// hence any order, loss, repetition or delay of frames ends in the same state.
// It must not carry state that needs an order between writers; such state goes
// through conditional writes at the platform. It does harm if facts churn
// faster than they are useful, because each one reaches every daemon.
//
// Signals: connections and frames of graph neighbours, and their silence.
//
// The package is pure: Node takes an event and the time and returns actions.
package mesh
