// Package httproute holds the configuration that an outside operator owns:
// HTTP routes by host and path prefix, the services behind them, the customers
// with their API keys, and the limits on what a caller may send. Compile turns
// one version of it into an immutable Table for the path of a request.
//
// It is apart from package policy, whose revisions this system accepts itself.
package httproute
