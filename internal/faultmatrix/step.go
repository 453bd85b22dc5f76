package faultmatrix

import (
	"strings"
	"time"

	"github.com/auburndyke/auburndyke/internal/dev"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/drain"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
)

// step is one row of the matrix.
type step struct {
	name string
	// upstream tells that an upstream takes part in the step.
	upstream bool
	// early drives the step while the daemons do not know each other yet.
	early bool
	// drive does the step and calls scene.before and scene.after at the
	// moments when faults are injected.
	drive func(s *scene)
}

const (
	burst         = 40
	probeTokens   = 60
	earlyTokens   = 5
	lateTokens    = 10
	drainUpstream = domain.UpstreamID("lesson-06")
)

// steps lists the rows in the order of the table.
func steps() []step {
	return []step{
		{name: "accept configuration", drive: acceptConfiguration},
		{name: "spread configuration", drive: spreadConfiguration},
		{name: "start a daemon", drive: startDaemon},
		{name: "admit", upstream: true, drive: admit},
		{name: "claim", upstream: true, drive: claim},
		{name: "dispatch", upstream: true, drive: atProgress(0, 1)},
		{name: "stream", upstream: true, drive: atProgress(earlyTokens, lateTokens)},
		{name: "resume", upstream: true, drive: resume},
		{name: "finish", upstream: true, drive: atProgress(probeTokens-earlyTokens, probeTokens)},
		{name: "drain: request", upstream: true, drive: drainRequest},
		{name: "drain: acknowledge", upstream: true, drive: drainAcknowledge},
		{name: "drain: release", upstream: true, drive: drainRelease},
		{name: "lease: take", drive: leaseTake},
		{name: "lease: renew", drive: leaseRenew},
		{name: "lease: lose", drive: leaseLose},
		{name: "report load", upstream: true, drive: report},
	}
}

// startStep asks for a drain while the daemons do not know each other yet.
func startStep() step {
	return step{name: "drain: request at start", upstream: true, early: true, drive: drainRequest}
}

func acceptConfiguration(s *scene) {
	s.before()
	s.reconfigure(driveBound)
	s.after()
}

func spreadConfiguration(s *scene) {
	s.reconfigure(driveBound)
	s.before()
	time.Sleep(2 * regionDelay)
	s.after()
}

// startDaemon starts a fifth daemon. A crash before the step hits a neighbour
// and one after it the new daemon.
func startDaemon(s *scene) {
	s.before()
	m, err := s.start(daemons)
	if err != nil {
		s.violate("starting a daemon: %v", err)
		return
	}
	time.Sleep(20 * time.Millisecond)
	s.target = m
	s.after()
	if s.gone[m.ID] {
		return
	}
	if !until(time.Minute, func() bool { ok, _ := m.Gateway().Ready(); return ok }) {
		s.violate("the new daemon is not ready after a minute")
	}
}

func admit(s *scene) {
	s.before()
	for i := range burst {
		p := profiles[i%len(profiles)]
		s.work.Go(func() { s.generate(p, p.tokens, s.target) })
	}
	time.Sleep(200 * time.Millisecond)
	s.after()
}

// claim injects when the claim was sent, or when its row was written.
func claim(s *scene) {
	written := make(chan struct{}, 1)
	s.fleet.Platform.Record(func(op platform.Operation) {
		if op.Kind == platform.KindCommit && op.Client == string(s.target.ID) && op.Err == nil && strings.HasPrefix(op.Writes[0].Key, "claim/") {
			select {
			case written <- struct{}{}:
			default:
			}
		}
	})
	defer s.fleet.Platform.Record(nil)
	for _, key := range []string{"probe-1", "probe-2", "probe-3"} {
		s.work.Go(func() { s.book(key, false, s.target) })
	}
	s.before()
	select {
	case <-written:
	case <-time.After(driveBound):
	}
	s.after()
}

// probe sends one long generation to the target and returns its attempt once
// an engine has it.
func (s *scene) probe() (find func() (engine.Entry, bool)) {
	registered := make(chan *call, 1)
	p := profile{"lesson-plan", "mb-port-city-sup-key", probeTokens}
	s.work.Go(func() { s.generateWith(p, probeTokens, s.target, func(c *call) { registered <- c }) })
	c := <-registered
	return func() (engine.Entry, bool) { return s.attemptOf(c) }
}

// attemptOf finds the running attempt of a call's first try.
func (s *scene) attemptOf(c *call) (engine.Entry, bool) {
	s.mu.Lock()
	var length int
	if len(c.promptTokens) > 0 {
		length = c.promptTokens[0]
	}
	s.mu.Unlock()
	for id, e := range s.fleet.Engines {
		for _, a := range e.Ledger().Attempts {
			if length > 0 && a.PromptTokens == length && a.Skipped == 0 && a.State != engine.StateRefused {
				s.engine = id
				return a, true
			}
		}
	}
	return engine.Entry{}, false
}

// reaches waits until the probe has made n tokens.
func reaches(find func() (engine.Entry, bool), n int) {
	until(driveBound, func() bool {
		a, ok := find()
		return ok && a.Generated >= n
	})
}

// atProgress injects when the engine of a stream has made that many tokens.
func atProgress(before, after int) func(*scene) {
	return func(s *scene) {
		find := s.probe()
		reaches(find, before)
		s.before()
		reaches(find, after)
		s.after()
	}
}

// resume makes the connections of a stream's engine silent, so that the stream
// must be resumed.
func resume(s *scene) {
	find := s.probe()
	reaches(find, earlyTokens)
	s.net.Silence(string(s.engine))
	s.before()
	until(3*time.Second, func() bool {
		a, ok := find()
		return ok && a.Resumed > 0
	})
	s.after()
}

// aim makes the holder of the drain lease the target, or another daemon.
func (s *scene) aim(holder bool) {
	until(driveBound, func() bool { return s.leaseHolder() != "" })
	id := s.leaseHolder()
	for _, m := range s.standing() {
		if (m.ID == id) == holder {
			s.target = m
			return
		}
	}
}

func drainRequest(s *scene) {
	s.aim(true)
	s.engine = drainUpstream
	s.before()
	_ = s.drain(s.other(), drainUpstream, driveBound)
	s.after()
}

// other returns a daemon that is not the target.
func (s *scene) other() *dev.Member {
	for _, m := range s.standing() {
		if m != s.target {
			return m
		}
	}
	return nil
}

func drainAcknowledge(s *scene) {
	s.aim(false)
	s.engine = drainUpstream
	if err := s.drain(s.other(), drainUpstream, driveBound); err != nil {
		s.violate("drain without a fault: %v", err)
	}
	s.before()
	time.Sleep(300 * time.Millisecond)
	s.after()
}

func drainRelease(s *scene) {
	s.aim(true)
	s.engine = drainUpstream
	if err := s.drain(s.other(), drainUpstream, driveBound); err != nil {
		s.violate("drain without a fault: %v", err)
	}
	until(driveBound, func() bool { return s.phaseAt(s.target, drainUpstream) != drain.Draining })
	s.before()
	until(driveBound, func() bool { return s.phaseAt(s.target, drainUpstream) == drain.Releasable })
	s.after()
}

func (s *scene) phaseAt(m *dev.Member, upstream domain.UpstreamID) drain.Phase {
	for _, d := range m.Drains() {
		if d.Upstream == upstream {
			return d.Phase
		}
	}
	return drain.Serving
}

// leaseTake stops the holder in a planned way, so that another daemon takes
// the lease. The fault hits a candidate.
func leaseTake(s *scene) {
	s.aim(true)
	holder := s.target
	s.aim(false)
	s.before()
	s.stop(holder)
	until(driveBound, func() bool { id := s.leaseHolder(); return id != "" && id != holder.ID })
	if m := s.member(s.leaseHolder()); m != nil && m != holder {
		s.target = m
	}
	s.after()
}

// stop asks a daemon to stop gracefully. The load balancer hears of it first.
func (s *scene) stop(m *dev.Member) {
	s.mu.Lock()
	s.dead[m.ID], s.gone[m.ID] = true, true
	s.mu.Unlock()
	m.BeginStop()
}

func leaseRenew(s *scene) {
	s.aim(true)
	renewed := make(chan struct{}, 1)
	s.fleet.Platform.Record(func(op platform.Operation) {
		if op.Kind == platform.KindCommit && op.Err == nil && op.Writes[0].Key == drainLease {
			select {
			case renewed <- struct{}{}:
			default:
			}
		}
	})
	defer s.fleet.Platform.Record(nil)
	s.before()
	select {
	case <-renewed:
	case <-time.After(driveBound):
	}
	s.after()
}

// leaseLose cuts the holder off from the platform until another daemon has the
// lease.
func leaseLose(s *scene) {
	s.aim(true)
	holder := s.target
	remove := s.net.add(unreachable(string(holder.ID), dev.PlatformHost))
	defer remove()
	s.before()
	until(2*driveBound, func() bool { id := s.leaseHolder(); return id != "" && id != holder.ID })
	s.after()
}

func report(s *scene) {
	s.before()
	time.Sleep(3 * time.Second)
	s.after()
}
