// Package estimate predicts answer lengths and upstream latencies.
//
// Answer lengths are not known in advance and load reports arrive late, so
// admission and routing work with predictions. Signals: the lengths of
// finished answers, the daemon's own observations of first-token times and
// token intervals, and load reports weighted by their age.
//
// The mechanism does harm when traffic changes faster than the histories
// decay (about histogramWindow answers) and when observations from one kind
// of request are applied to another; lengths are therefore kept per model,
// class and customer.
//
// Reads take no lock. Updates use atomics; an update of a latency fit that
// meets another one in progress is dropped, which only loses one sample.
package estimate
