package platform

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/netfault"
)

var errInvalid = errors.New("invalid request")

// Config sets up a Platform.
type Config struct {
	// Credentials are the accepted bearer tokens. Empty means that none is
	// needed.
	Credentials []string
	// Latency is the time of each call. Half of it passes before the effect.
	Latency time.Duration
	// WriteRate and ReadRate limit table and object calls per second. Zero
	// means no limit.
	WriteRate float64
	ReadRate  float64
	// WeightRate limits weight store calls per second. Zero means no limit.
	WeightRate float64
	// VMLag is how old the VM list is.
	VMLag time.Duration
	// UnreachableAfter is when an in-process call gives up on an unreachable
	// platform, if its context does not end first. Default 1 s.
	UnreachableAfter time.Duration
	// Seed seeds the random faults.
	Seed uint64
}

// Counters count the calls that reached the stores.
type Counters struct {
	Reads     int `json:"reads"`
	Writes    int `json:"writes"`
	Conflicts int `json:"conflicts"`
	Throttled int `json:"throttled"`
	Refused   int `json:"refused"`
	Lost      int `json:"lost"`
}

// Platform is one stand-in platform. It is an http.Handler; Start serves it on
// a listener.
type Platform struct {
	cfg      Config
	handler  http.Handler
	server   *http.Server
	listener atomic.Pointer[netfault.Listener]
	faults   atomic.Pointer[Faults]
	record   atomic.Pointer[func(Operation)]

	mu          sync.Mutex
	rng         *rand.Rand
	table       table
	objects     map[string][]byte
	weights     map[string]int64
	vms         []vmSnapshot
	credentials []string
	counters    Counters
	limits      limits
	lost        int
}

type limits struct {
	write  *rate.Limiter
	read   *rate.Limiter
	weight *rate.Limiter
}

type vmSnapshot struct {
	at  time.Time
	vms []domain.VM
}

// New returns an empty platform.
func New(cfg Config) *Platform {
	if cfg.UnreachableAfter == 0 {
		cfg.UnreachableAfter = time.Second
	}
	p := &Platform{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 2)),
		table:       newTable(),
		objects:     make(map[string][]byte),
		weights:     make(map[string]int64),
		credentials: cfg.Credentials,
		limits: limits{
			write:  newLimiter(cfg.WriteRate),
			read:   newLimiter(cfg.ReadRate),
			weight: newLimiter(cfg.WeightRate),
		},
	}
	p.faults.Store(&Faults{})
	p.handler = p.routes()
	p.server = &http.Server{Handler: p}
	return p
}

// newLimiter allows a burst of one second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Start serves the platform on a listener until Close.
func (p *Platform) Start(inner net.Listener) {
	l := netfault.Wrap(inner)
	p.listener.Store(l)
	go func() { _ = p.server.Serve(l) }()
}

// Close drops all connections. The stores stay usable in process.
func (p *Platform) Close() error {
	return p.server.Close()
}

// ServeHTTP serves the platform protocol, /faults and /counters.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// SetVMs replaces the VM list. Readers see it after VMLag.
func (p *Platform) SetVMs(vms ...domain.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.vms = append(p.vms, vmSnapshot{at: now, vms: slices.Clone(vms)})
	for len(p.vms) > 1 && now.Sub(p.vms[1].at) >= p.cfg.VMLag {
		p.vms = p.vms[1:]
	}
}

// SetWeights sets the size of an artefact in bytes.
func (p *Platform) SetWeights(artefact string, size int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights[artefact] = size
}

// SetCredentials replaces the accepted bearer tokens.
func (p *Platform) SetCredentials(tokens ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.credentials = tokens
}

// Counters returns the counters.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Version returns the version of the last commit.
func (p *Platform) Version() ports.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.version
}

func (p *Platform) authorized(token string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.credentials) == 0 || slices.Contains(p.credentials, token)
}

// listVMs returns the list as of VMLag ago.
func (p *Platform) listVMs() []domain.VM {
	until := time.Now().Add(-p.cfg.VMLag)
	out := []domain.VM{}
	for _, s := range p.vms {
		if s.at.After(until) {
			break
		}
		out = s.vms
	}
	return slices.Clone(out)
}

// put stores an object. Other content under the same name is a conflict.
func (p *Platform) put(name string, data []byte) error {
	old, exists := p.objects[name]
	if exists && !bytes.Equal(old, data) {
		return &ports.ConflictError{Keys: []string{name}}
	}
	p.objects[name] = bytes.Clone(data)
	return nil
}
