// Package dev runs a whole deployment in one process on loopback: stand-ins
// of the platform and of the upstreams of an example configuration, and
// several daemons in different regions. The dev command and end-to-end tests
// use it.
package dev
