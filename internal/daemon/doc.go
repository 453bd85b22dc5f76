// Package daemon wires one process: listeners, the request path, the
// configuration in force, the peers and the loops that keep them up to date.
// All daemons are equal; none is set aside for control, and none keeps state
// that another could not rebuild from the platform.
package daemon
