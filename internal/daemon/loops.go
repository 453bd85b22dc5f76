package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/engineclient"
	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/gateway"
	"github.com/auburndyke/auburndyke/internal/placement"
	"github.com/auburndyke/auburndyke/internal/routing"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// pumpInterval is how often waiting requests are looked at without an
	// event, because reports and time change what fits.
	pumpInterval = 10 * time.Millisecond
	// sweepInterval is how often outliers are looked for.
	sweepInterval = time.Second
	// reportBytes is the approximate traffic of one load report and
	// reportBudget what a daemon spends on them in bytes per second. Together
	// with the number of upstreams they give the poll interval, so that the
	// control traffic stays within 3 KB/s at any size.
	reportBytes  = 400
	reportBudget = 1000
	// cacheEventBytes is the approximate size of one cache event. Reading all
	// events of 72 upstreams would take tens of KB/s at the planned size, so that
	// they are read within cacheBudget bytes per second, with gaps.
	cacheEventBytes = 55
	cacheBudget     = 300
	cacheBurst      = 64 << 10
	// minReportInterval is the shortest poll interval.
	minReportInterval = time.Second
	// maxReportInterval is the longest one.
	maxReportInterval = 30 * time.Second
	// pollers is the number of upstreams polled at once.
	pollers = 16
)

// backends holds one client per upstream address.
type backends struct {
	options engineclient.Options
	clients sync.Map // address -> *engineclient.Client
}

func newBackends(options engineclient.Options) *backends { return &backends{options: options} }

func (b *backends) get(address string) (gateway.Backend, error) {
	if c, ok := b.clients.Load(address); ok {
		return c.(*engineclient.Client), nil
	}
	c, err := engineclient.New("http://"+address, b.options)
	if err != nil {
		return nil, err
	}
	kept, loaded := b.clients.LoadOrStore(address, c)
	if loaded {
		c.Close()
	}
	return kept.(*engineclient.Client), nil
}

func (b *backends) close() {
	b.clients.Range(func(_, c any) bool {
		c.(*engineclient.Client).Close()
		return true
	})
}

// pumpLoop looks at waiting requests and at outliers regularly.
func (d *Daemon) pumpLoop(ctx context.Context) error {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	var swept time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			d.gateway.Pump(now)
			if now.Sub(swept) >= sweepInterval {
				swept = now
				d.sweep(now)
			}
		}
	}
}

func (d *Daemon) sweep(now time.Time) {
	table := d.gateway.Table()
	if table == nil {
		return
	}
	for _, e := range routing.EjectOutliers(now, table) {
		d.cfg.Log.Event(telemetry.UpstreamHealth).Str("upstream", string(e.Upstream.ID)).
			Float64("first_token_seconds", e.TimeToFirstToken).Float64("peer_first_token_seconds", e.PeerTimeToFirstToken).
			Float64("errors", e.ErrorRate).Float64("peer_errors", e.PeerErrorRate).Bool("spared", e.Suppressed).Msg("")
	}
}

// reportInterval is how often each of n upstreams is polled.
func reportInterval(n int) time.Duration {
	interval := time.Duration(n) * reportBytes * time.Second / reportBudget
	return min(max(interval, minReportInterval), maxReportInterval)
}

// loadLoop polls the load reports of the upstreams in the table. The polls of
// one round are spread over the interval.
func (d *Daemon) loadLoop(ctx context.Context) error {
	slots := make(chan struct{}, pollers)
	next := 0
	for {
		var members []*routing.Upstream
		if table := d.gateway.Table(); table != nil {
			members = table.Members()
		}
		if !backoff.Sleep(ctx, reportInterval(len(members))/time.Duration(max(len(members), 1))) {
			return nil
		}
		if len(members) == 0 {
			continue
		}
		u := members[next%len(members)]
		next++
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		go func() {
			defer func() { <-slots }()
			d.poll(ctx, u)
		}()
	}
}

// poll reads one upstream's load report and cache events.
func (d *Daemon) poll(ctx context.Context, u *routing.Upstream) {
	client, err := d.backends.get(u.Address)
	if err != nil {
		return
	}
	began := time.Now()
	report, err := client.Load(ctx)
	if err != nil {
		d.cfg.Log.Event(telemetry.LoadReportError).Str("upstream", string(u.ID)).Err(err).Msg("")
		return
	}
	now := time.Now()
	u.Report(now, report)
	if u.Kind == domain.KindEngine && !u.Remote && d.director.lease.Held(now) {
		d.director.core.Post(ctx, placement.Reported{Report: report})
	}
	d.cluster.reported(u.ID, report, began)
	if u.Kind != domain.KindEngine {
		return
	}
	if !d.cacheBudget.AllowN(now, 1) {
		// Routing still knows the prefixes that this daemon sent there.
		return
	}
	events, err := client.CacheEvents(ctx, u.State.Prefixes.LastSeq())
	if err != nil {
		return
	}
	d.cacheBudget.ReserveN(now, min(len(events)*cacheEventBytes, cacheBurst))
	for _, e := range events {
		u.State.Prefixes.Apply(e)
	}
}
