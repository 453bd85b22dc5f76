// Package exchange decides the life of one request: which attempts are made,
// resumed, continued and cancelled, which events reach the caller, and what
// the caller is told at the end.
//
// The mechanism exists because upstreams refuse, break off, fall silent and
// answer late, while the caller must see each token once and the whole answer
// or an accurate outcome. It does harm when it repeats work that an overloaded
// fleet cannot carry, so retries and hedges draw on a Budget; attempts that
// cost no work and the first one after a broken stream do not. Its signals
// are the events of the attempts: their identity, index and token counts, the
// distribution of intervals within each stream, and probes.
//
// Exchange is the pure state machine. Runner executes its actions for engines
// and CallRunner for plain services.
package exchange
