// Package domain holds the vocabulary that every other package shares: where
// processes run, who sends requests, what serves them and how a request ended.
// It imports nothing but the standard library.
package domain

import (
	"fmt"
	"strings"
	"time"
)

// Region names a group of availability zones that are close to each other.
// Traffic between regions is slow and billed by volume.
type Region string

// AvailabilityZone names a failure domain inside a Region.
type AvailabilityZone string

// CustomerID names a Customer in the configuration.
type CustomerID string

// ClassID names a request class in the configuration.
type ClassID string

// UpstreamID names an Upstream in the configuration.
type UpstreamID string

// TierID names a service tier in the configuration.
type TierID string

// ModelID names a language model, without its adapter.
type ModelID string

// DaemonID names one daemon process across restarts.
type DaemonID string

// Incarnation distinguishes the runs of one daemon or Upstream. A later run
// has a higher number.
type Incarnation uint64

// Revision numbers accepted configurations. Zero means none yet.
type Revision uint64

// FencingToken orders the holders of a lease. A later holder has a higher
// token. Zero means that no lease backs the order.
type FencingToken uint64

// RequestID identifies one caller request inside the system.
type RequestID string

// AttemptID identifies one attempt to run a request at an Upstream. Each
// attempt has its own, so that a late answer cannot be taken for another's.
type AttemptID string

// NewAttemptID derives the identifier of attempt n (from 0) of a request.
func NewAttemptID(request RequestID, n int) AttemptID {
	return AttemptID(fmt.Sprintf("%s.%d", request, n))
}

// Request returns the request that the attempt belongs to.
func (a AttemptID) Request() RequestID {
	if i := strings.LastIndexByte(string(a), '.'); i >= 0 {
		return RequestID(a[:i])
	}
	return RequestID(a)
}

// VM is one virtual machine as the platform lists it.
type VM struct {
	Name    string           `json:"name"`
	Address string           `json:"address"` // IP:port
	Region  Region           `json:"region"`
	Zone    AvailabilityZone `json:"zone"`
	Leaving bool             `json:"leaving"`
	// Deadline is when a leaving VM is taken away. Zero means unknown.
	Deadline time.Time `json:"deadline,omitzero"`
}

// UpstreamKind tells how an Upstream is spoken to.
type UpstreamKind string

const (
	// KindEngine is a model engine that streams tokens.
	KindEngine UpstreamKind = "engine"
	// KindService is a plain HTTP service.
	KindService UpstreamKind = "service"
)

// Role tells which phase of a generation an engine takes part in.
type Role string

const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Outcome is what a caller is told about the execution of its request.
type Outcome string

const (
	// OutcomeNotRun means that no Upstream ran any part of the request, so a
	// retry is safe. It is reported only when that is known.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeRan means that an Upstream ran the request and the response
	// carries its answer or its error.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// WasteCause says why computed tokens reached nobody.
type WasteCause string

const (
	WasteCallerGone WasteCause = "caller_gone"
	WastePreempted  WasteCause = "preempted"
	WasteHedge      WasteCause = "hedge"
	WasteBroken     WasteCause = "broken_stream"
	WasteSilent     WasteCause = "silent_stream"
	WasteMismatch   WasteCause = "mismatched_answer"
	WasteDeadline   WasteCause = "deadline"
)
