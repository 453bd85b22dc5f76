// Package httproute holds the configuration that an external operator manages:
// HTTP routes by host and path prefix, the services that they lead to, customers with
// their API keys, and the limits on what a caller may send. Compile turns one version
// of it into an immutable Table for serving requests.
//
// It is separate from package policy, whose revisions are submitted to and accepted by
// this system itself.
package httproute
