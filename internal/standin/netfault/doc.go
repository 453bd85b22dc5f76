// Package netfault gives the stand-ins a listener whose connections can go
// silent: packets are lost in both directions while the connection stays open
// and new connections work. It also provides an in-memory listener for tests
// in virtual time, where a real socket would stop the clock.
package netfault
