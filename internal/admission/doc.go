// Package admission is the admission control of one daemon: it decides which
// requests of a model are queued, dispatched, shed or preempted, and enforces
// the rate and concurrency limits of customers and classes.
//
// Bursts exceed the rented capacity, so some requests have to wait or be shed.
// The order follows the configured tiers, minimum shares and latency targets.
// The inputs are the estimated tokens of each request, its deadline, and the
// measured rates at which requests are dispatched and finish.
//
// Two inputs limit how well this works. Shares and the queue bound are off by
// the same factor as the token estimates. A queue bound far above what drains
// within a latency target only sheds requests later.
//
// All types take the time as an argument and hold no clock, goroutine or
// random source. A Queue is not safe for concurrent use; a Limiter is.
package admission
