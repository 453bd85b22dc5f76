package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburndyke/auburndyke/internal/adapters/adminhttp"
	"github.com/auburndyke/auburndyke/internal/adapters/peerws"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/drain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// acceptWait is how long a drain order waits for its acceptance. The drain
// goes on after that; its state shows what it waits for.
const acceptWait = 3 * time.Second

// statusParallel is the number of daemons asked for their state at once.
const statusParallel = 32

// control is the daemon's side of the administration API.
type control struct{ daemon *Daemon }

var _ adminhttp.Control = control{}

// Control returns the daemon's side of the administration API.
func (d *Daemon) Control() adminhttp.Control { return control{d} }

// Current implements adminhttp.Control.
func (c control) Current() (administration.Snapshot, bool) {
	p := c.daemon.policy.Load()
	document := c.daemon.document.Load()
	if p == nil || document == nil {
		return administration.Snapshot{}, false
	}
	return administration.Snapshot{Revision: p.Revision, Document: document, Policy: p}, true
}

// Revision implements adminhttp.Control.
func (c control) Revision(ctx context.Context, revision domain.Revision) (configlog.Document, error) {
	if inForce := c.daemon.watcher.InForce(); inForce.Revision == revision && revision > 0 {
		return inForce, nil
	}
	return configlog.ReadRevision(ctx, c.daemon.cfg.Platform, revision)
}

// History implements adminhttp.Control.
func (c control) History(ctx context.Context, last domain.Revision, limit int) ([]configlog.Record, error) {
	return configlog.History(ctx, c.daemon.cfg.Platform, last, limit)
}

// Propose implements adminhttp.Control. An accepted revision is put in force
// here at once and spreads from here.
func (c control) Propose(ctx context.Context, change configlog.Change) (configlog.Result, error) {
	result, err := c.daemon.proposer.Propose(ctx, change)
	line := c.daemon.cfg.Log.Event(telemetry.ConfigurationProposed).Str("change", change.ID).Str("author", change.Author).
		Uint64("base", uint64(change.Base)).Uint64("revision", uint64(result.Document.Revision)).
		Bool("merged", result.Merged).Int("conflicts", len(result.Conflicts))
	line.Err(err).Msg("")
	if err == nil && result.Accepted() && result.Document.Content != nil {
		c.daemon.watcher.Offer(ctx, "", result.Document)
	}
	return result, err
}

// Drain implements adminhttp.Control. The administration API has asked for
// confirmation before, so the last upstream of a class is drained too.
func (c control) Drain(ctx context.Context, upstream domain.UpstreamID, draining bool) (administration.Drain, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptWait)
	defer cancel()
	var err error
	if draining {
		err = c.daemon.Drain(ctx, upstream, time.Time{}, true)
	} else {
		err = c.daemon.Undrain(ctx, upstream)
	}
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return administration.Drain{}, err
	}
	return c.drainOf(upstream), nil
}

func (c control) drainOf(upstream domain.UpstreamID) administration.Drain {
	for _, s := range c.daemon.Drains() {
		if s.Upstream == upstream {
			return drainState(&s)
		}
	}
	return administration.Drain{Upstream: upstream, Phase: administration.PhaseServing}
}

func drainState(s *drain.Status) administration.Drain {
	out := administration.Drain{
		Upstream: s.Upstream,
		Phase:    administration.DrainPhase(s.Phase),
		Since:    s.Since,
		Deadline: s.Deadline,
		Waiting:  s.Waiting,
	}
	for _, n := range s.InProgress {
		out.InProgress += n
	}
	return out
}

// Ready implements adminhttp.Control.
func (c control) Ready() (bool, string) { return c.daemon.gateway.Ready() }

// Status implements adminhttp.Control.
func (c control) Status(ctx context.Context) (administration.Fleet, error) {
	fleet := administration.Fleet{Daemon: c.daemon.cfg.ID, Time: time.Now()}
	fleet.Daemons = c.daemon.askStatuses(ctx)
	for _, s := range c.daemon.Drains() {
		fleet.Drains = append(fleet.Drains, drainState(&s))
	}
	return fleet, nil
}

// Status describes this daemon.
func (d *Daemon) Status() administration.DaemonStatus {
	ready, reason := d.gateway.Ready()
	s := administration.DaemonStatus{
		Daemon:     d.cfg.ID,
		Region:     d.cfg.Region,
		Zone:       d.cfg.Zone,
		Revision:   d.Revision(),
		Ready:      ready,
		Reason:     reason,
		InProgress: d.gateway.InProgress(),
		Seen:       time.Now(),
	}
	for _, t := range d.gateway.Tiers() {
		s.Tiers = append(s.Tiers, administration.TierStatus{
			Tier: t.Tier, Rank: t.Rank, Queued: t.Queued, Running: t.Running,
			Finished: t.Finished, Met: t.Met, Sheds: t.Sheds,
		})
	}
	s.Peers = append(s.Peers, *d.cluster.peers.Load()...)
	return s
}

// StatusHandler answers other daemons. It belongs to the peer listener, under
// peerws.StatusPath.
func (d *Daemon) StatusHandler() http.Handler {
	return peerws.StatusHandler(func() any { return d.Status() })
}

// askStatuses returns the state of this daemon and of the others in the
// roster, in the order of their identifiers. A daemon that does not answer in
// time has no time in Seen.
func (d *Daemon) askStatuses(ctx context.Context) []administration.DaemonStatus {
	entries := d.Roster().Entries()
	out := make([]administration.DaemonStatus, len(entries))
	var group errgroup.Group
	group.SetLimit(statusParallel)
	for i, e := range entries {
		group.Go(func() error {
			out[i] = d.askStatus(ctx, e.Member)
			return nil
		})
	}
	_ = group.Wait() // the calls report through out
	if _, ok := d.Roster().Find(d.cfg.ID); !ok {
		out = append(out, d.Status())
	}
	return out
}

func (d *Daemon) askStatus(ctx context.Context, m ports.Member) administration.DaemonStatus {
	if m.Daemon == d.cfg.ID {
		return d.Status()
	}
	var s administration.DaemonStatus
	if d.cfg.Asker == nil || d.cfg.Asker.Status(ctx, m.Address, &s) != nil || s.Daemon != m.Daemon {
		return administration.DaemonStatus{Daemon: m.Daemon, Region: m.Region, Zone: m.Zone}
	}
	return s
}
