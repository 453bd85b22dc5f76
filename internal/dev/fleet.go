package dev

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/examples"
	"github.com/auburndyke/auburndyke/internal/adapters/callerhttp"
	"github.com/auburndyke/auburndyke/internal/adapters/engineclient"
	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/adapters/peerws"
	"github.com/auburndyke/auburndyke/internal/adapters/platformclient"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/daemon"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/routing"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
	"github.com/auburndyke/auburndyke/internal/standin/service"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// AdminToken is the operator's token in a development fleet.
const AdminToken = "dev-operator-token"

// Options configures a Fleet.
type Options struct {
	// Example names the configuration. Default "maraval-bay".
	Example string
	// Daemons is the number of daemons; they are spread over the regions.
	// Default 2.
	Daemons int
	// Region places all daemons in one region. Empty spreads them.
	Region domain.Region
	// Callers is the address of the first daemon's caller listener; the other
	// daemons take free ports. Default 127.0.0.1:0.
	Callers string
	// Speed divides the engines' times. Default 1.
	Speed float64
	// Engine overrides settings of all engines; ID, Models, Adapters, Slots
	// and ChecksFencing come from the configuration.
	Engine engine.Config
	// ServiceLatency is the time of each call to a plain service.
	ServiceLatency time.Duration
	Platform       platform.Config
	// Log receives the daemons' log. Nil discards it.
	Log func(daemon string) *telemetry.Log
	// Edit changes the configuration before anything starts.
	Edit func(*policy.Document) *policy.Document
	// Network connects the hosts. Nil means loopback.
	Network Network
	// Peers changes a daemon's peer transport. Nil keeps it.
	Peers func(id domain.DaemonID, transport ports.PeerTransport) ports.PeerTransport
	// Seed feeds the daemons' random choices. Zero takes random ones.
	Seed uint64
	// ShutdownBound is how long a planned stop of a daemon may take. Default 30 s.
	ShutdownBound time.Duration
}

// Fleet is a running deployment.
type Fleet struct {
	Document *policy.Document
	Platform *platform.Platform
	Engines  map[domain.UpstreamID]*engine.Engine
	Services map[domain.UpstreamID]*service.Service
	Members  []*Member

	platformURL string
	options     Options
	work        sync.WaitGroup
	mu          sync.Mutex // guards Members while daemons are added
}

// Member is one daemon of a Fleet.
type Member struct {
	*daemon.Daemon
	ID      domain.DaemonID
	Region  domain.Region
	URL     string // of the caller listener
	Admin   string // URL of the administration listener
	Metrics *telemetry.Metrics
	peers   string // address of the peer listener
	stop    context.CancelFunc
	done    chan struct{}
	err     error
}

// Start starts a deployment and returns when every daemon is ready or ctx
// ends.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	options = options.withDefaults()
	document, err := examples.Load(options.Example)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Document: document,
		Engines:  make(map[domain.UpstreamID]*engine.Engine),
		Services: make(map[domain.UpstreamID]*service.Service),
		options:  options,
	}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (o Options) withDefaults() Options {
	if o.Example == "" {
		o.Example = "maraval-bay"
	}
	if o.Daemons == 0 {
		o.Daemons = 2
	}
	if o.Callers == "" {
		o.Callers = freePort
	}
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.ShutdownBound == 0 {
		o.ShutdownBound = 30 * time.Second
	}
	if o.Log == nil {
		o.Log = func(string) *telemetry.Log { return telemetry.NopLog() }
	}
	if o.Network == nil {
		o.Network = loopback{}
	}
	if o.Peers == nil {
		o.Peers = func(_ domain.DaemonID, t ports.PeerTransport) ports.PeerTransport { return t }
	}
	return o
}

// seed returns the seed of daemon i; zero stays random.
func (o Options) seed(i int) uint64 {
	if o.Seed == 0 {
		return 0
	}
	return o.Seed + uint64(i)
}

func (f *Fleet) start(ctx context.Context) error {
	if f.options.Edit != nil {
		f.Document = f.options.Edit(f.Document)
	}
	f.Document = f.Document.PutAdminToken(policy.AdminToken{ID: "dev", Hash: policy.HashKey(AdminToken), Role: policy.RoleOperator})
	if err := f.startPlatform(); err != nil {
		return err
	}
	for i := range f.Document.Upstreams {
		if err := f.startUpstream(&f.Document.Upstreams[i]); err != nil {
			return err
		}
	}
	if _, err := f.Propose(ctx, f.Document, "initial configuration"); err != nil {
		return err
	}
	for i := range f.options.Daemons {
		address := freePort
		if i == 0 {
			address = f.options.Callers
		}
		if _, err := f.startDaemon(i, domain.DaemonID(fmt.Sprintf("daemon-%d", i+1)), address); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

// StartDaemon starts one more daemon in the region and zone of number i and
// does not wait for it. An id must not be in use by a running daemon.
func (f *Fleet) StartDaemon(i int, id domain.DaemonID) (*Member, error) {
	return f.startDaemon(i, id, freePort)
}

func (f *Fleet) members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Members)
}

func (f *Fleet) startPlatform() error {
	listener, err := f.options.Network.Listen(PlatformHost, "", freePort)
	if err != nil {
		return err
	}
	f.Platform = platform.New(f.options.Platform)
	f.Platform.Start(listener)
	f.platformURL = "http://" + listener.Addr().String()
	return nil
}

// startUpstream starts the stand-in of one upstream on a free port and puts
// its address into the configuration.
func (f *Fleet) startUpstream(u *policy.Upstream) error {
	listener, err := f.options.Network.Listen(string(u.ID), u.Region, freePort)
	if err != nil {
		return err
	}
	u.Address = listener.Addr().String()
	if u.Kind == domain.KindService {
		s := service.New(service.Config{ID: u.ID, Slots: u.Slots, Latency: f.options.ServiceLatency})
		s.Start(listener)
		f.Services[u.ID] = s
		return nil
	}
	e := engine.New(f.engineConfig(u))
	e.Start(listener)
	f.Engines[u.ID] = e
	return nil
}

func (f *Fleet) engineConfig(u *policy.Upstream) engine.Config {
	cfg := f.options.Engine
	cfg.ID = u.ID
	cfg.BlockBytes = routing.PrefixBlockBytes
	cfg.Role = u.Role
	cfg.Slots = u.Slots
	cfg.ChecksFencing = u.ChecksFencing
	cfg.Speed = f.options.Speed
	for _, id := range u.Models {
		cfg.Models = append(cfg.Models, string(id))
		for i := range f.Document.Models {
			if f.Document.Models[i].ID == id {
				cfg.Adapters = append(cfg.Adapters, f.Document.Models[i].Adapters...)
			}
		}
	}
	return cfg
}

// Propose brings a configuration into the log through the platform.
func (f *Fleet) Propose(ctx context.Context, document *policy.Document, message string) (configlog.Result, error) {
	client, err := platformclient.New(f.platformURL, platformclient.Options{
		Name:      OperatorHost,
		Transport: httpsend.Options{Dial: f.options.Network.Dial(OperatorHost)},
	})
	if err != nil {
		return configlog.Result{}, err
	}
	defer client.Close()
	proposer := configlog.NewProposer(client, nil, func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) })
	base := domain.Revision(0)
	for _, m := range f.members() {
		base = max(base, m.Revision())
	}
	result, err := proposer.Propose(ctx, configlog.Change{
		ID:      uuid.NewString(),
		Author:  "dev",
		Message: message,
		Base:    base,
		Content: document.Encode(),
	})
	if err == nil && !result.Accepted() {
		err = eris.Errorf("the change conflicts with revision %d: %v", result.Head.Revision, result.Conflicts)
	}
	return result, err
}

func (f *Fleet) startDaemon(i int, id domain.DaemonID, address string) (*Member, error) {
	region, zone := f.place(i)
	listener, err := f.options.Network.Listen(string(id), region, address)
	if err != nil {
		return nil, err
	}
	sending := httpsend.Options{Dial: f.options.Network.Dial(string(id))}
	client, err := platformclient.New(f.platformURL, platformclient.Options{Name: string(id), Transport: sending})
	if err != nil {
		return nil, err
	}
	peers, err := f.options.Network.Listen(string(id), region, freePort)
	if err != nil {
		return nil, err
	}
	peerAddress := peers.Addr().String()
	admin, err := f.options.Network.Listen(string(id), region, freePort)
	if err != nil {
		return nil, err
	}
	mesh := peerws.Config{
		Self:     ports.Member{Daemon: id, Address: peerAddress, Region: region, Zone: zone},
		Listener: peers,
		Dial:     sending.Dial,
	}
	transport := peerws.New(mesh)
	metrics := telemetry.NewMetrics()
	m := &Member{
		ID: id, Region: region, Metrics: metrics, peers: peerAddress, done: make(chan struct{}),
		URL: "http://" + listener.Addr().String(), Admin: "http://" + admin.Addr().String(),
	}
	m.Daemon = daemon.New(daemon.Config{
		ID:            id,
		Region:        region,
		Zone:          zone,
		Boot:          uuid.NewString(),
		Callers:       listener,
		Caller:        callerhttp.Options{},
		Peers:         f.options.Peers(id, transport),
		PeerAddress:   peerAddress,
		Seeds:         f.seeds(),
		Asker:         peerws.NewAsker(mesh),
		Admin:         admin,
		Platform:      client,
		Upstream:      engineclient.Options{Transport: sending},
		Seed:          f.options.seed(i),
		ShutdownBound: f.options.ShutdownBound,
		Log:           f.options.Log(string(id)),
		Metrics:       metrics,
	})
	transport.Handle("GET "+peerws.StartupPath, m.StartupHandler())
	transport.Handle("GET "+peerws.StatusPath, m.StatusHandler())
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	f.mu.Lock()
	f.Members = append(f.Members, m)
	f.mu.Unlock()
	f.work.Go(func() {
		defer close(m.done)
		defer client.Close()
		m.err = m.Run(ctx)
	})
	return m, nil
}

// place returns the region and zone of the daemon with an index.
func (f *Fleet) place(i int) (domain.Region, domain.AvailabilityZone) {
	regions := f.Document.Regions
	at := slices.IndexFunc(regions, func(r policy.Region) bool { return r.ID == f.options.Region })
	if at >= 0 {
		return regions[at].ID, regions[at].Zones[i%len(regions[at].Zones)]
	}
	region := &regions[i%len(regions)]
	return region.ID, region.Zones[(i/len(regions))%len(region.Zones)]
}

// seeds lists the peer addresses of the daemons that run already.
func (f *Fleet) seeds() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	seeds := make([]string, len(f.Members))
	for i, m := range f.Members {
		seeds[i] = m.peers
	}
	return seeds
}

// WaitReady waits until every daemon is ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, m := range f.Members {
		if err := m.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (m *Member) waitReady(ctx context.Context) error {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		ok, reason := m.Gateway().Ready()
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("%s is not ready: %s", m.ID, reason)
		case <-m.done:
			return eris.Wrapf(errors.Join(m.err, http.ErrServerClosed), "%s ended", m.ID)
		case <-ticker.C:
		}
	}
}

// Done is closed when the daemon has ended.
func (m *Member) Done() <-chan struct{} { return m.done }

// BeginStop starts a graceful stop and does not wait for it.
func (m *Member) BeginStop() { m.stop() }

// Stop stops one daemon gracefully and waits for it.
func (m *Member) Stop() error {
	m.stop()
	<-m.done
	return m.err
}

// Close stops the daemons gracefully, then the stand-ins.
func (f *Fleet) Close() {
	for _, m := range f.members() {
		m.stop()
	}
	f.work.Wait()
	for _, e := range f.Engines {
		_ = e.Close()
	}
	for _, s := range f.Services {
		_ = s.Close()
	}
	if f.Platform != nil {
		_ = f.Platform.Close()
	}
}
