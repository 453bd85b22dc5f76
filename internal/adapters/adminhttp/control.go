package adminhttp

import (
	"cmp"
	"context"
	"time"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// Control is the daemon as the administration API needs it. It is safe for
// concurrent use.
type Control interface {
	// Current returns the configuration in force, decoded and compiled. It is
	// false before the first one. It does not wait.
	Current() (administration.Snapshot, bool)
	// Revision reads the content of one revision from the log. It fails with
	// configlog.ErrBaseUnknown, ports.ErrUnavailable or ports.ErrUnknownOutcome.
	Revision(ctx context.Context, revision domain.Revision) (configlog.Document, error)
	// History returns up to limit records that end with revision last, newest
	// first. A last of zero means the newest revision.
	History(ctx context.Context, last domain.Revision, limit int) ([]configlog.Record, error)
	// Propose brings a change into the log and announces the accepted revision
	// to the peers. It answers like configlog.Proposer.Propose with an
	// administration.Merger.
	Propose(ctx context.Context, change configlog.Change) (configlog.Result, error)
	// Drain starts (or with draining false ends) the drain of an upstream of
	// the configuration in force without waiting for the log, so that it works
	// while the platform is down, and returns its state. Repeating it changes
	// nothing. The call that records it in the configuration is made apart;
	// changes that set the draining field otherwise are followed by this call.
	Drain(ctx context.Context, upstream domain.UpstreamID, draining bool) (administration.Drain, error)
	// Status returns the state of the fleet as this daemon knows it, with
	// daemons by identifier and only upstreams that do not serve in Drains.
	Status(ctx context.Context) (administration.Fleet, error)
	// Ready reports whether the daemon accepts requests, or why not.
	Ready() (ok bool, reason string)
}

// Options bounds what a client can take and names the audit trail's outputs.
type Options struct {
	// MaxBodyBytes bounds a request's body. Default 4 MiB, three times a
	// configuration of the planned size.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds a request's header. Default 16 KiB.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time to send a header. Default 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to send a request. Default 30 s.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time to run a call and send its answer.
	// Default 60 s.
	WriteTimeout time.Duration
	// IdleTimeout closes idle connections. Default 2 min.
	IdleTimeout time.Duration
	// ControlTimeout bounds one call to Control. Default 8 s.
	ControlTimeout time.Duration
	// MaxConcurrent bounds the API calls that run at once; further ones are
	// refused. Default 8.
	MaxConcurrent int
	// MaxChanges bounds the changes that are planned at once; further ones
	// wait. Planning one allocates 52 to 89 MB at the planned size. Changes that
	// wait for the platform do not count, so that a drain need not wait for
	// them. Default 1.
	MaxChanges int
	// Bootstrap holds tokens that are valid only while the configuration in
	// force names none.
	Bootstrap []policy.AdminToken
	// Log receives the audit trail. Default: none.
	Log *telemetry.Log
	// Metrics is served under /metrics. Default: an empty registry.
	Metrics *telemetry.Metrics
}

func (o Options) withDefaults() Options {
	o.MaxBodyBytes = cmp.Or(o.MaxBodyBytes, 4<<20)
	o.MaxHeaderBytes = cmp.Or(o.MaxHeaderBytes, 16<<10)
	o.HeaderTimeout = cmp.Or(o.HeaderTimeout, 5*time.Second)
	o.BodyTimeout = cmp.Or(o.BodyTimeout, 30*time.Second)
	o.WriteTimeout = cmp.Or(o.WriteTimeout, time.Minute)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, 2*time.Minute)
	o.ControlTimeout = cmp.Or(o.ControlTimeout, 8*time.Second)
	o.MaxConcurrent = cmp.Or(o.MaxConcurrent, 8)
	o.MaxChanges = cmp.Or(o.MaxChanges, 1)
	if o.Log == nil {
		o.Log = telemetry.NopLog()
	}
	if o.Metrics == nil {
		o.Metrics = telemetry.NewMetrics()
	}
	return o
}
