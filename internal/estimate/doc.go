// Package estimate predicts response lengths and upstream latencies.
//
// Response lengths are not known in advance and load reports arrive late, so
// admission and routing work with predictions. The inputs are the lengths of
// finished responses, the times to first token and inter-token latencies that
// this daemon observed, and load reports weighted by their age.
//
// Predictions are wrong when traffic changes faster than the histories decay
// (about histogramWindow responses), and when observations of one kind of
// request are applied to another. Lengths are therefore kept per model, class
// and customer.
//
// Reads take no lock. Updates use atomics. An update of a latency fit is dropped
// if another one is in progress, which loses one sample.
package estimate
