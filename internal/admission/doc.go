// Package admission decides which requests wait, run, are shed or are
// preempted on one daemon for one model.
//
// Demand exceeds the rented capacity during bursts, so an order among waiting
// requests is unavoidable; this package makes that order follow the
// configured tiers, shares and targets. Signals: estimated tokens of each
// request, deadlines, and the rate at which earlier work finished.
//
// The mechanism does harm when token estimates are far off (shares and the
// queue bound then drift by the same factor), and a queue bound that is far
// above what drains within a target only delays refusals.
//
// All types take the time as an argument and hold no clock, goroutine or
// random source. A Queue is not safe for concurrent use; a Limiter is.
package admission
