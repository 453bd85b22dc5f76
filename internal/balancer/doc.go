// Package balancer picks the upstream for a request of a service, without
// talking to other daemons.
//
// For model engines the cost of an upstream is the work that waits there plus
// the part of the prompt that it would have to read again. Each daemon knows
// which prompts it sent where. For all others it relies on rendezvous hashing:
// every daemon ranks the upstreams of a prompt in the same order, so the first
// one most likely holds the prompt's shared parts already. A prompt leaves its
// first upstream when the wait there costs more than reading the prompt again.
// The second in the order, its alternate, is the cheaper place to go: each of the
// two copies the shared parts from the other where engines can (see fetch.go).
//
// Load reports in answers are used with their age: a report counts fully when
// it arrives and fades out within reportLife, and requests that this daemon
// sent meanwhile are added.
//
// The load that this answers is one that differs between upstreams, prompts
// that share parts, and streams with short pauses beside long prompts. Requests
// are not held back while engines are busy: that was tried and measured worse,
// because reading prompts is what engines lack time for (see
// docs/decisions/0014-placement-on-the-platform.md). What can't end in its time at
// full engines is refused before it is sent (see forecast.go).
package balancer
