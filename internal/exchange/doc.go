// Package exchange runs one accepted request: it decides which attempts are
// started, reconnected, resumed elsewhere and cancelled, which events reach
// the caller, and which outcome the caller is told.
//
// Upstreams refuse requests, break streams, fall silent and respond late, but
// the caller must receive each token once, and either the whole response or an
// accurate outcome. Retries and hedges can overload a fleet that is already
// short of capacity, so they draw on a Budget. Exempt are attempts that follow
// one that cost its upstream no work, and the first one after a broken stream.
// Decisions rest on the events of the attempts (attempt ID, index, token
// count), on the distribution of inter-token gaps within each stream, and on
// probes.
//
// Exchange is the state machine; it does no I/O and reads no clock. Runner
// executes its actions for engines, RunCall for plain services.
package exchange
