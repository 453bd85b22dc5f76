package faultmatrix

import (
	"context"
	"time"

	"github.com/auburndyke/auburndyke/internal/dev"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/drain"
)

const (
	startBound = 30 * time.Second
	warmup     = 2 * time.Second
	// acceptBound is how long a change may take to be accepted once nothing is
	// wrong any more.
	acceptBound   = 30 * time.Second
	settleTime    = 2 * time.Second
	releaseBound  = 3 * time.Minute
	lastUpstream  = domain.UpstreamID("lesson-11")
	pairGap       = 500 * time.Millisecond
	drainAttempts = 3
	// stopBurst requests of stopTokens each are in progress at a planned stop.
	stopBurst  = 16
	stopTokens = 20
)

// cell is one step with the faults that are injected at it.
type cell struct {
	step   step
	faults []fault
	seed   uint64
}

// run runs a cell in a bubble of virtual time and returns the violations.
func (c *cell) run() []string {
	ctx, cancel := context.WithTimeout(context.Background(), startBound)
	defer cancel()
	s, err := newScene(ctx, c.seed)
	if err != nil {
		return []string{"start: " + err.Error()}
	}
	defer s.close()
	if !c.step.early && !until(startBound, s.acquainted) {
		return []string{"start: the daemons do not know each other"}
	}
	stopWatch := make(chan struct{})
	s.watch.Go(func() { s.watchRevisions(stopWatch) })
	load, stopLoad := context.WithCancel(context.Background())
	s.work.Go(func() { s.traffic(load) })
	s.work.Go(func() { s.bookings(load) })
	if !c.step.early {
		time.Sleep(warmup)
	}
	done := s.arm(c.faults)
	c.step.drive(s)
	done()
	time.Sleep(settleTime)
	s.recover()
	stopLoad()
	s.work.Wait()
	close(stopWatch)
	s.watch.Wait()
	s.check()
	return s.violations
}

// acquainted tells that each daemon knows all others, so that a step does not
// meet a deployment that is still starting.
func (s *scene) acquainted() bool {
	for _, m := range s.members {
		if len(m.Roster().Entries()) < len(s.members) {
			return false
		}
	}
	return true
}

// arm prepares the injection of the faults, one after the other. The returned
// function waits until all have healed.
func (s *scene) arm(list []fault) (wait func()) {
	fired := make([]bool, len(list))
	ended := make(chan struct{}, len(list))
	s.inject = func(after bool) {
		for i := range list {
			if f := &list[i]; f.after == after && !fired[i] {
				fired[i] = true
				heal := f.inject(s)
				time.AfterFunc(f.hold+time.Duration(i)*pairGap+time.Nanosecond, func() {
					heal()
					ended <- struct{}{}
				})
			}
		}
	}
	return func() {
		for range list {
			<-ended
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.healed = time.Now()
	}
}

// recover asks for what must work again after each fault: a configuration
// change, a drain up to the return of the upstream, and a planned stop.
func (s *scene) recover() {
	if !s.reconfigure(acceptBound) {
		s.violate("I8: no change was accepted %v after the fault", acceptBound)
	}
	time.Sleep(inForceBound)
	s.drainLast()
	s.stopOne()
}

func (s *scene) drainLast() {
	var err error
	for i := range drainAttempts {
		members := s.standing()
		if err = s.drain(members[i%len(members)], lastUpstream, driveBound); err == nil {
			break
		}
	}
	if err != nil {
		s.violate("the drain of %s was not accepted: %v", lastUpstream, err)
		return
	}
	for _, d := range s.drains {
		s.release(d.upstream)
	}
}

// release returns an upstream once a daemon says that it may be: its process
// ends, whatever it does.
func (s *scene) release(upstream domain.UpstreamID) {
	releasable := func() bool {
		for _, m := range s.standing() {
			if s.phaseAt(m, upstream) == drain.Releasable {
				return true
			}
		}
		return false
	}
	if !until(releaseBound, releasable) {
		s.violate("%s is not releasable %v after its leave was accepted", upstream, releaseBound)
		return
	}
	s.checkReleased(upstream)
	_ = s.fleet.Engines[upstream].Close()
}

// stopOne stops a daemon gracefully under traffic.
func (s *scene) stopOne() {
	var last *dev.Member
	for _, m := range s.standing() {
		last = m
	}
	for i := range stopBurst {
		s.work.Go(func() { s.generate(profiles[i%len(profiles)], stopTokens, last) })
	}
	s.work.Go(func() { s.book("planned-stop", false, last) })
	time.Sleep(2 * regionDelay)
	s.stop(last)
	<-last.Done()
}

// close ends everything and lets the last calls on their way time out.
func (s *scene) close() {
	s.fleet.Close()
	s.caller.client.CloseIdleConnections()
	time.Sleep(tryTimeout)
}
