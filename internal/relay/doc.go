// Package relay carries HTTP requests from callers to upstreams and the
// answers back, both unchanged.
//
// One request goes through these steps: find the route and the customer, read
// the body, refuse what can't end in its time, pick an upstream (package
// balancer), send (package upstreamhttp), and relay the answer or the events of a
// stream. A failure before anything
// was relayed leads to another attempt where the route allows it. A stream of
// a resumable route goes on at another upstream behind its last event.
//
// What a caller is told about execution is exact: 429 and 503 mean that no
// upstream has run the request and none will. 502 and 504 promise nothing.
//
// The names of headers belong to a Protocol, so that the package serves any
// outside platform.
package relay
