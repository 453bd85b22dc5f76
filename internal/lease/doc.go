// Package lease grants named leases through conditional writes to the
// platform's table service. Each new holder gets a fencing token that is
// higher than those of all earlier holders.
//
// Some work, such as ordering an upstream to load a model, must be directed by
// one daemon at a time, although daemons pause, lose their connection to the
// table and return. A candidate detects that a lease is no longer renewed by
// the row's version, which changes with each renewal, and by its own clock;
// the clocks of two daemons are never compared.
//
// Don't use a lease where two directors at once would only be wasteful: each
// lease costs a renewal every few seconds, and when its holder crashes nobody
// holds it for a whole term.
//
// Lease is a state machine without I/O; Holder runs it against the table.
package lease
