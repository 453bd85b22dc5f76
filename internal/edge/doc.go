// Package edge runs a daemon on a platform whose operator owns the configuration
// and whose upstreams register themselves. It connects the relay to the platform's
// tables, responds to readiness probes, serves metrics and shuts down gracefully.
//
// The daemon has no state of its own: its configuration and its list of upstreams
// are copies of the platform's tables, and what it knows of load and prefix caches
// is learned anew after each start.
package edge
