// Package lease grants named leases through conditional writes of the
// platform's table service. Each holder gets a fencing token that is higher
// than those of all earlier holders.
//
// It exists because some work, such as ordering an upstream to load a model,
// must have one director, and daemons pause, lose the table and come back.
// The signals are the row's version, which changes with each renewal, and the
// daemon's own clock; no two clocks are compared. It does harm where two
// directors are merely wasteful: each lease costs a renewal every few seconds
// and a gap of a whole term when its holder dies.
//
// Lease is a pure state machine; Holder runs it.
package lease
