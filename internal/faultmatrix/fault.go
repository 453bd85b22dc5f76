package faultmatrix

import (
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
	"github.com/auburndyke/auburndyke/internal/standin/service"
)

// fault is one column of the matrix.
type fault struct {
	name string
	// after injects the fault behind the step's effect instead of before it.
	after bool
	// hold is how long the fault lasts.
	hold time.Duration
	// inject starts the fault and returns the function that ends it.
	inject func(s *scene) (heal func())
	// unfit gives the reason why the fault does not apply to a step, or "".
	unfit func(st *step) string
}

const (
	outage    = 8 * time.Second
	partition = 12 * time.Second
	// pauseTime exceeds the roster lease of 30 s.
	pauseTime  = 40 * time.Second
	lateness   = 700 * time.Millisecond
	slowness   = 1500 * time.Millisecond
	straggle   = 20
	lostWrites = 3
	cutStream  = 9
	downTime   = 5 * time.Second
)

func anywhere(*step) string { return "" }

func nowhere(reason string) func(*step) string {
	return func(*step) string { return reason }
}

func atUpstreams(st *step) string {
	if !st.upstream {
		return "no upstream takes part in the step"
	}
	return ""
}

// faults lists the columns in the order of the table.
func faults() []fault {
	return []fault{
		{name: "daemon crash before", inject: crash, unfit: anywhere},
		{name: "daemon crash after", after: true, inject: crash, unfit: anywhere},
		{name: "daemon paused past its lease", hold: pauseTime, inject: pauseDaemon, unfit: anywhere},
		{name: "store down", hold: outage, inject: storeDown, unfit: anywhere},
		{name: "store slow", hold: outage, inject: storeSlow, unfit: anywhere},
		{name: "answer lost after effect", hold: outage, inject: loseAnswers, unfit: anywhere},
		{name: "connection silent", hold: outage, inject: silence, unfit: anywhere},
		{name: "message late", hold: outage, inject: delay, unfit: anywhere},
		{name: "message duplicated", hold: outage, inject: duplicate, unfit: anywhere},
		{name: "message reordered", hold: outage, inject: reorder, unfit: anywhere},
		{name: "partition one-way", hold: partition, inject: cutRegion(true), unfit: anywhere},
		{name: "partition two-way", hold: partition, inject: cutRegion(false), unfit: anywhere},
		{name: "engine straggles", hold: outage, inject: slowUpstream, unfit: atUpstreams},
		{name: "engine crashes", hold: downTime, inject: crashUpstream, unfit: atUpstreams},
		{name: "engine ignores fencing", unfit: nowhere("no scene changes what engines hold, so no order is sent; internal/placement and internal/recordtest test fencing")},
		{name: "clock rate differs", unfit: nowhere("a bubble has one clock; internal/lease tests clocks of different rates")},
	}
}

// crash ends the target's process. A replacement starts soon.
func crash(s *scene) func() {
	s.kill(s.target)
	s.mu.Lock()
	i := slices.Index(s.members, s.target)
	s.mu.Unlock()
	time.AfterFunc(time.Second, func() {
		if _, err := s.start(i % daemons); err != nil {
			s.violate("starting a replacement: %v", err)
		}
	})
	return func() {}
}

func (s *scene) disturb(ids ...domain.DaemonID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.disturbed[id] = true
	}
}

func pauseDaemon(s *scene) func() {
	id := s.target.ID
	s.disturb(id)
	remove := s.net.add(isolated(string(id)))
	unhealthy := time.AfterFunc(healthInterval, func() { s.setDead(id, true) })
	return func() {
		unhealthy.Stop()
		remove()
		s.setDead(id, false)
	}
}

func storeDown(s *scene) func() {
	s.fleet.Platform.SetFaults(platform.Faults{Down: []platform.Service{platform.ServiceTable, platform.ServiceObjects, platform.ServiceVMs}})
	return func() { s.fleet.Platform.SetFaults(platform.Faults{}) }
}

func storeSlow(s *scene) func() {
	s.fleet.Platform.SetFaults(platform.Faults{Slow: slowness})
	return func() { s.fleet.Platform.SetFaults(platform.Faults{}) }
}

// loseAnswers loses the answers of the next writes to the table, cuts streams
// short and loses the answers of the service.
func loseAnswers(s *scene) func() {
	s.fleet.Platform.SetFaults(platform.Faults{LoseNext: lostWrites})
	heal := s.hitUpstreams(engine.Faults{TruncateAfter: cutStream}, service.Faults{LoseAnswers: true})
	return func() {
		s.fleet.Platform.SetFaults(platform.Faults{})
		heal()
	}
}

// hitUpstreams sets the switches of the step's engine and service and returns
// the function that clears them.
func (s *scene) hitUpstreams(onEngine engine.Faults, onService service.Faults) (heal func()) {
	e, svc := s.fleet.Engines[s.engine], s.fleet.Services[s.service]
	e.SetFaults(onEngine)
	svc.SetFaults(onService)
	return func() {
		e.SetFaults(engine.Faults{})
		svc.SetFaults(service.Faults{})
	}
}

// silence makes the open connections of the target, and those of the step's
// upstreams, silent for good.
func silence(s *scene) func() {
	s.disturb(s.target.ID)
	s.net.Silence(string(s.target.ID))
	s.net.Silence(string(s.engine))
	s.net.Silence(string(s.service))
	return func() {}
}

func delay(s *scene) func() {
	return s.net.add(late(string(s.target.ID), lateness))
}

func duplicate(s *scene) func() {
	s.frames.duplicate.Store(true)
	heal := s.hitUpstreams(engine.Faults{Duplicate: true}, service.Faults{})
	return func() {
		s.frames.duplicate.Store(false)
		heal()
	}
}

func reorder(s *scene) func() {
	s.frames.reorder.Store(true)
	heal := s.hitUpstreams(engine.Faults{Late: true}, service.Faults{})
	return func() {
		s.frames.reorder.Store(false)
		heal()
	}
}

// cutRegion cuts the target's region off from the other regions and the
// platform.
func cutRegion(oneWay bool) func(s *scene) func() {
	return func(s *scene) func() { return s.net.add(partitioned(s.target.Region, oneWay)) }
}

func slowUpstream(s *scene) func() {
	return s.hitUpstreams(engine.Faults{Straggle: straggle}, service.Faults{Slow: straggle * serviceLatency})
}

// crashUpstream ends the processes of the step's engine and service; they come
// back later.
func crashUpstream(s *scene) func() {
	s.fleet.Engines[s.engine].Crash()
	s.fleet.Services[s.service].Crash()
	return s.hitUpstreams(engine.Faults{Down: true}, service.Faults{Down: true})
}
