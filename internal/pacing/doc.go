// Package pacing decides when a request may start while a service's engines
// have less time than all requests need.
//
// An engine that always has prompts to read gives every running stream one
// token for each chunk that it reads. Streams then last several times longer
// than their callers wait, and the work on them is lost. Requests therefore
// wait here, in order, and start at a rate that leaves engines time to
// generate.
//
// The load that this answers is a burst of long prompts, of seconds to minutes.
// It does harm where the estimate of work is far too high, since engines then
// idle while requests wait. Without an estimate of the whole fleet's work,
// nothing waits.
//
// Order: by rank; within a rank, requests that can still meet their goal come
// first, because one that is late already loses less by waiting longer.
package pacing
