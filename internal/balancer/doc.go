// Package balancer picks the upstream for a request of a service, without
// talking to other daemons.
//
// For model engines the cost of an upstream is the work that waits there plus
// the part of the prompt that it would have to read again. Each daemon knows
// which prompts it sent where. For all others it relies on rendezvous hashing:
// every daemon ranks the upstreams of a prompt in the same order, so the first
// one most likely holds the prompt's shared parts already. A prompt leaves its
// first upstream when the wait there costs more than reading the prompt again.
//
// Load reports in answers are used with their age: a report counts fully when
// it arrives and fades out within reportLife, and requests that this daemon
// sent meanwhile are added.
//
// The package answers for load that varies between upstreams and for prompts
// that share parts. It does not limit the total load; package overload of the
// relay refuses what no upstream can take.
package balancer
