// Package routing picks an upstream for each attempt. Filters exclude the
// upstreams that cannot serve it, scorers assign a cost to the eligible ones,
// and a picker samples among those near the lowest cost.
//
// Upstreams differ in load, distance, price and cached prefixes, and many
// daemons decide concurrently from stale information. Scores use the
// predictions of package estimate. Sampling and per-daemon shares of slots
// keep daemons from all shifting to the same upstream. The inputs are the
// daemon's own requests in flight, load reports, observed times to first token
// and errors, cache events, and the configuration.
//
// The main risk is a prediction that ranks upstreams wrongly for a long time,
// so that an upstream whose cost is underestimated attracts traffic. Outlier
// detection, the observed slowdown by which package estimate scales predictions,
// and the band that the picker samples from limit the damage.
//
// A Table is an immutable snapshot. The live State of an upstream is atomic
// and is carried over from Table to Table. Pick takes no lock.
package routing
