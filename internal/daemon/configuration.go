package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

func (d *Daemon) configurationHooks() configlog.Hooks {
	return configlog.Hooks{
		Enforce: d.enforce,
		Reject: func(r configlog.Reject) {
			d.cfg.Log.Event(telemetry.ConfigurationRejected).Uint64("revision", uint64(r.Revision)).
				Str("from", string(r.From)).Str("reason", r.Reason).Msg("")
		},
		Readiness: d.readiness,
		PollFailed: func(err error) {
			d.cfg.Log.Event(telemetry.ConfigurationPoll).Err(err).Msg("")
		},
	}
}

// enforce compiles a revision and puts it in force. A revision that does not
// compile leaves the earlier one in force; the administration API accepts
// none that does not.
func (d *Daemon) enforce(doc configlog.Document) {
	name := fmt.Sprintf("revision-%d", doc.Revision)
	document, compiled, list := policy.Load(doc.Revision, policy.Source{Name: name, Data: doc.Content})
	if compiled == nil {
		d.rejectRevision(doc, list)
		return
	}
	d.document.Store(document)
	d.policy.Store(compiled)
	d.apply(time.Now())
	d.cluster.upstreamsChanged(compiled)
	d.cluster.announce(d.previous, doc)
	go d.director.configured(d.cluster.ctx, compiled)
	d.previous = doc
	d.cfg.Metrics.Gauge("auburndyke_revision").Update(float64(doc.Revision))
	d.cfg.Log.Event(telemetry.ConfigurationInForce).Uint64("revision", uint64(doc.Revision)).
		Str("digest", string(doc.Digest)).Int("upstreams", len(compiled.Upstreams)).Msg("")
}

func (d *Daemon) rejectRevision(doc configlog.Document, err error) {
	d.cfg.Log.Event(telemetry.ConfigurationRejected).Uint64("revision", uint64(doc.Revision)).Err(err).Msg("")
}

// readiness takes over what the configuration log says.
func (d *Daemon) readiness(r configlog.Readiness) {
	d.configured.Store(&r)
	d.updateReadiness()
}

// updateReadiness makes the daemon ready when a configuration is in force and
// the leaves of upstreams are known.
func (d *Daemon) updateReadiness() {
	d.readying.Lock()
	defer d.readying.Unlock()
	r := configlog.Readiness{Reason: "no configuration is in force yet"}
	if p := d.configured.Load(); p != nil {
		r = *p
	}
	if r.Ready && !d.cluster.evidence.synced.Load() {
		r = configlog.Readiness{Reason: "the leaves of upstreams are not known yet: no peer was heard and the roster names others"}
	}
	if r.Ready && d.cluster.evidence.stale.Load() {
		r = configlog.Readiness{Reason: "neither the platform nor a peer is heard, so that leaves of upstreams are not known"}
	}
	if !r.Ready {
		d.gateway.SetUnready(r.Reason)
		d.cfg.Log.Event(telemetry.DaemonUnready).Str("reason", r.Reason).Msg("")
		return
	}
	d.gateway.SetReady()
	d.cfg.Log.Event(telemetry.DaemonReady).Str("reason", r.Reason).Uint64("revision", uint64(d.Revision())).Msg("")
}

// apply puts the policy and the view of the fleet in force on the request
// path.
func (d *Daemon) apply(now time.Time) {
	d.applying.Lock()
	defer d.applying.Unlock()
	if p := d.policy.Load(); p != nil {
		d.gateway.Apply(now, p, d.site(p), d.liveDaemons())
	}
}

// requestRebuild asks for a new routing table without waiting for it.
func (d *Daemon) requestRebuild() {
	select {
	case d.rebuild <- struct{}{}:
	default:
	}
}

func (d *Daemon) rebuildLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.rebuild:
			d.apply(time.Now())
		}
	}
}
