// Package balancer picks the upstream for each request of a service, without
// coordination between daemons.
//
// For model engines, the cost of an upstream is the work queued there plus the
// prompt tokens that it would have to prefill because its prefix cache lacks
// them. Each daemon tracks which prompts it sent where. For prompts sent by other
// daemons it relies on rendezvous hashing: every daemon ranks the upstreams of a
// prompt in the same order, so the first one, the preferred upstream, most likely
// has the prompt's shared parts in its prefix cache. A prompt leaves its preferred
// upstream when the wait there costs more than prefilling it elsewhere. The second
// in the order, its alternate, is the cheaper place to go: each of the two fetches
// the shared parts from the other where engines can (see fetch.go).
//
// Load reports in responses are weighted by age: a report counts fully when it
// arrives, its weight falls to zero within reportMaxAge, and requests that this
// daemon has sent since are added.
//
// An upstream that has started or recovered gets a share of its usual requests, which
// grows with its answers (see rampup.go and docs/design/0006-ramp-up.md).
//
// The design targets load that differs between upstreams, prompts that share
// prefixes, and streams with short allowed gaps beside long prompts. Requests are
// not queued in the daemon while engines are busy: that was tried and measured
// worse, because engines are short of prefill time (see
// docs/decisions/0014-placement-on-the-platform.md). A request that can't complete
// by its deadline because the engines are full is shed before it is sent (see
// predict.go).
package balancer
