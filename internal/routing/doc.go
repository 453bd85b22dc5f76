// Package routing chooses an upstream for each attempt: filters exclude what
// cannot serve it, scorers price what can, and a picker samples among the
// near-best.
//
// Upstreams differ in load, distance, price and cached prefixes, and many
// daemons choose at once from late information. Scores follow predictions of
// package estimate; sampling and per-daemon shares of slots keep daemons from
// moving in step. Signals: own requests in progress, load reports, observed
// first-token times and errors, cache events, and the configuration.
//
// The mechanism does harm when predictions order upstreams wrongly for long
// (a cheap but wrong upstream attracts traffic); outlier detection, lateness
// and the sampling band bound that.
//
// A Table is an immutable snapshot. The live State of an upstream is atomic
// and is carried from Table to Table. Pick takes no lock.
package routing
