// Package relay proxies HTTP requests from callers to upstreams and relays the
// responses, both unchanged.
//
// A request passes through these steps: look up the route and the customer, read
// the body, shed the request if its response is predicted to miss the deadline,
// pick an upstream (package balancer), send the request (package upstreamhttp),
// and relay the response or the events of a stream. An attempt that fails before
// anything was relayed is retried if the route allows it. A stream of a resumable
// route resumes on another upstream after its last event.
//
// The status of a response is exact about execution: 429 and 503 mean that no
// upstream has run the request and none will. 502 and 504 promise nothing.
//
// A Protocol defines the header names, so that the package works with any
// external platform.
package relay
