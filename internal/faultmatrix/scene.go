package faultmatrix

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/dev"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/lease"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
)

const (
	daemons        = 4
	serviceLatency = 20 * time.Millisecond
	tokenInterval  = 40 * time.Millisecond
	tableLatency   = 4 * time.Millisecond
	// driveBound ends a step's driver that waits for something that the fault
	// prevents.
	driveBound = 20 * time.Second
	pollTick   = 10 * time.Millisecond
	drainLease = "lease/drain"
)

// scene is one deployment with its callers during one cell.
type scene struct {
	net    *network
	frames frameFaults
	fleet  *dev.Fleet
	table  *platform.Client
	caller *caller
	work   sync.WaitGroup // callers
	watch  sync.WaitGroup

	// target, engine and service are what the faults of the step hit.
	target  *dev.Member
	engine  domain.UpstreamID
	service domain.UpstreamID
	inject  func(after bool)

	mu         sync.Mutex
	members    []*dev.Member
	dead       map[domain.DaemonID]bool // not offered to callers
	disturbed  map[domain.DaemonID]bool // connections may break by a fault
	gone       map[domain.DaemonID]bool // crashed or stopped for good
	calls      []*call
	prompts    int
	turn       int
	revisions  map[domain.DaemonID]domain.Revision
	accepted   []acceptedRevision
	reached    map[domain.DaemonID]map[domain.Revision]time.Time
	drains     []acceptedDrain
	seasons    int
	healed     time.Time
	violations []string
}

type acceptedRevision struct {
	revision domain.Revision
	at       time.Time
}

type acceptedDrain struct {
	upstream domain.UpstreamID
	at       time.Time
}

func newScene(ctx context.Context, seed uint64) (*scene, error) {
	s := &scene{
		net:       newNetwork(),
		dead:      make(map[domain.DaemonID]bool),
		disturbed: make(map[domain.DaemonID]bool),
		gone:      make(map[domain.DaemonID]bool),
		revisions: make(map[domain.DaemonID]domain.Revision),
		reached:   make(map[domain.DaemonID]map[domain.Revision]time.Time),
	}
	s.caller = newCaller(s.net)
	fleet, err := dev.Start(ctx, dev.Options{
		Daemons:        daemons,
		ServiceLatency: serviceLatency,
		Platform:       platform.Config{Latency: tableLatency, Seed: seed},
		Network:        s.net,
		Seed:           seed,
		Engine:         engine.Config{Seed: seed, BaseInterval: tokenInterval},
		Peers: func(_ domain.DaemonID, t ports.PeerTransport) ports.PeerTransport {
			return newPeers(t, &s.frames)
		},
	})
	if err != nil {
		return nil, err
	}
	s.fleet = fleet
	s.table = fleet.Platform.Client("test")
	s.members = append(s.members, fleet.Members...)
	s.target = s.members[1]
	s.engine, s.service = "lesson-05", "booking-2"
	return s, nil
}

func (s *scene) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *scene) before() { s.inject(false) }
func (s *scene) after()  { s.inject(true) }

// until polls until ok and reports false at the bound.
func until(bound time.Duration, ok func() bool) bool {
	end := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(pollTick)
	}
	return true
}

// standing returns the daemons that run and can be reached.
func (s *scene) standing() []*dev.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*dev.Member
	for _, m := range s.members {
		if !s.gone[m.ID] {
			out = append(out, m)
		}
	}
	return out
}

// start adds a daemon in place of one that crashed.
func (s *scene) start(i int) (*dev.Member, error) {
	s.mu.Lock()
	id := domain.DaemonID(fmt.Sprintf("daemon-%d", len(s.members)+1))
	s.mu.Unlock()
	m, err := s.fleet.StartDaemon(i, id)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = append(s.members, m)
	return m, nil
}

// kill ends a daemon's process: its connections are reset, and what it still
// does reaches nobody.
func (s *scene) kill(m *dev.Member) {
	s.mu.Lock()
	s.disturbed[m.ID], s.gone[m.ID] = true, true
	s.mu.Unlock()
	s.net.Kill(string(m.ID))
	m.BeginStop()
	time.AfterFunc(healthInterval, func() { s.setDead(m.ID, true) })
}

// healthInterval is how long the load balancer takes to notice.
const healthInterval = time.Second

func (s *scene) setDead(id domain.DaemonID, dead bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead[id] = dead
}

// leaseHolder reads the holder of the drain lease from the table.
func (s *scene) leaseHolder() domain.DaemonID {
	rows, err := s.table.Get(context.Background(), drainLease)
	if err != nil || len(rows) == 0 {
		return ""
	}
	var record lease.Record
	if json.Unmarshal(rows[0].Value, &record) != nil {
		return ""
	}
	return record.Holder.Daemon
}

func (s *scene) member(id domain.DaemonID) *dev.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if m.ID == id {
			return m
		}
	}
	return nil
}

// reconfigure changes one label and repeats it until it is accepted.
func (s *scene) reconfigure(bound time.Duration) bool {
	return until(bound, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.seasons++
		changed, err := s.fleet.Document.SetLabel(policy.ItemCustomer, string(s.fleet.Document.Customers[0].ID), "season", fmt.Sprint(s.seasons))
		if err != nil {
			s.violate("changing a label: %v", err)
			return true
		}
		result, err := s.fleet.Propose(ctx, changed, "season")
		if err != nil {
			return false
		}
		s.fleet.Document = changed
		s.mu.Lock()
		defer s.mu.Unlock()
		s.accepted = append(s.accepted, acceptedRevision{result.Document.Revision, time.Now()})
		return true
	})
}

// drain asks a daemon to drain an upstream and notes the acceptance.
func (s *scene) drain(m *dev.Member, upstream domain.UpstreamID, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if err := m.Drain(ctx, upstream, time.Time{}, false); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains = append(s.drains, acceptedDrain{upstream, time.Now()})
	return nil
}
