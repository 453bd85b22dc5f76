package ports

import (
	"context"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// DutyCall identifies the daemon that makes a call for the whole fleet.
type DutyCall struct {
	Holder domain.DaemonID
	Token  domain.FencingToken
	// Check fails when the daemon may no longer act. It is called immediately before
	// the call is sent, on an open connection. Nil always passes.
	Check func() error
}

// UsageReport is the usage of all customers in one window.
type UsageReport struct {
	// Window is the number of the window: it begins at Window times its length after the
	// start of 1970.
	Window int64
	// Counts is the number of requests that began to run, by customer.
	Counts map[domain.CustomerID]int64
}

// UpstreamOrder is the number of upstreams that a service shall have in a zone.
type UpstreamOrder struct {
	Service string
	Zone    domain.AvailabilityZone
	// Desired is the whole number, not a difference.
	Desired int
	// Reclaimable orders cheaper upstreams that the platform may take back.
	Reclaimable bool
}

// Duties is the platform's API for calls that one daemon makes for all. Calls fail with
// ErrThrottled, ErrNotFound if no upstreams are available, ErrUnavailable if nothing was
// done, or ErrUnknownOutcome.
type Duties interface {
	ReportUsage(ctx context.Context, call DutyCall, report UsageReport) error
	OrderUpstreams(ctx context.Context, call DutyCall, order UpstreamOrder) error
}
