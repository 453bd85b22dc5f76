// Package peers implements gossip between daemons. Each daemon sends work
// reports, load reports and table versions in UDP datagrams to random peers.
// In each zone one daemon reads the platform's tables for the others, which are
// divided into groups that pass its announcements on (see group.go).
//
// Each daemon sees only its share of the traffic: with 70 daemons, one hears of
// each engine's load every ten seconds, and its own mix of requests is a poor
// sample of the whole. At each interval a daemon sends its newest entries, at
// most a few dozen, to two random peers. An entry reaches all daemons within a
// few intervals, and the bytes that a daemon sends do not grow with the number
// of daemons.
//
// The protocol needs no agreement. A lost datagram only makes the entries older,
// and a daemon without peers works with what it observes itself. Messages carry
// ages instead of timestamps, so that the clocks of the VMs need not be
// synchronized.
//
// Daemons find each other in a directory that the platform stores. It is read at
// the start and again at long intervals; in between, datagrams carry addresses
// of peers.
package peers
