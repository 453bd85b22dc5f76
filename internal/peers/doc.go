// Package peers spreads what daemons learn about demand and load, by datagrams
// to random peers, and lets one daemon of a group read the platform's tables for
// the others (see group.go).
//
// It exists because each daemon sees only its share of the traffic: with 70
// daemons, one hears of each engine's load every ten seconds, and its own mix
// of requests says little of the whole. Each daemon sends what it knows, the
// newest first and at most a few dozen entries, to two random peers at each
// interval. Knowledge reaches all daemons within a few intervals, and the bytes
// that a daemon sends do not grow with their number.
//
// Nothing here has to be agreed. A lost datagram only makes knowledge older,
// and a daemon without peers works with what it sees itself. Ages are carried,
// not times, so that the clocks of the VMs do not matter.
//
// Daemons find each other in a directory that the platform keeps. It is read at
// the start and again at long intervals; datagrams carry addresses in between.
package peers
