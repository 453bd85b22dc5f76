// Package soak holds a randomized test of daemons as separate processes. Faults
// come from outside the processes: signals, a loopback proxy on each connection
// to the store and to the upstreams, and misbehaving stand-ins. Its checks see
// only what callers and upstreams saw.
package soak
