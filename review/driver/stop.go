package main

import (
	"sync"
	"syscall"
	"time"
)

// stopWhileQueued checks LOST: requests that wait in an engine's queue when their machine
// gets SIGTERM, and that the engine has not begun when the machine's time is over.
func stopWhileQueued(s *stage) (broken bool, err error) {
	const (
		// long streams fill the engine's slots, and short ones wait in its queue.
		long, short = engineSlots, 8
		gap         = 100 * time.Millisecond
		longEvents  = 95
		shortEvents = 30
	)
	s.putConfig()
	slots := make(chan struct{}, engineSlots)
	var mu sync.Mutex
	passedOn := make(map[string]bool) // to the engine
	begun := make(map[string]bool)    // by the engine
	engine := func(a *arrival) bool {
		r := a.replica
		r.count(&r.waiting, 1)
		mu.Lock()
		passedOn[a.id] = true
		mu.Unlock()
		s.logf("replica %s queues %s", r.id, a.id)
		begins := a.await(slots)
		r.count(&r.waiting, -1)
		if !begins {
			s.logf("replica %s: the daemon has closed the connection of %s, which it had not begun", r.id, a.id)
			return false
		}
		r.count(&r.running, 1)
		defer func() { <-slots; r.count(&r.running, -1) }()
		mu.Lock()
		begun[a.id] = true
		mu.Unlock()
		s.logf("replica %s begins %s", r.id, a.id)
		events := shortEvents
		if a.request.Header.Get("X-Token-Count") == "1460,285" {
			events = longEvents
		}
		return a.stream(events, gap, 0, 0)
	}
	if _, err := s.startReplica("engine-1", engineService, "dublin-a", engineSlots, engine); err != nil {
		return false, err
	}
	d, err := s.startDaemon("edge-dublin-a-1", "dublin-a")
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // longer than touch_ms
	var consumers sync.WaitGroup
	send := func(q call) <-chan outcome {
		out := make(chan outcome, 1)
		consumers.Go(func() {
			o, err := s.callOnce(d, q)
			if err != nil {
				s.logf("no channel: %v", err)
			}
			out <- o
		})
		return out
	}
	for n := range long {
		q := noticeCall(n)
		q.tokens = "1460,285"
		send(q)
	}
	time.Sleep(500 * time.Millisecond)
	var waiting []<-chan outcome
	for n := range short {
		q := noticeCall(1000 + n)
		q.tokens = "1460,90"
		waiting = append(waiting, send(q))
	}
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if s.trouble {
		if err := s.signal(d, syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	var outcomes []outcome
	for _, out := range waiting {
		outcomes = append(outcomes, <-out)
	}
	consumers.Wait()
	if s.trouble {
		<-d.ended
	}
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, o := range outcomes {
		// The engine never breaks off. A request that it had begun may be excused, since it
		// may have been at work on it in the last sixth of the grace time.
		after := o.ended().Sub(stopped)
		inTime := !s.trouble || after > 0 && after <= graceTime+time.Second
		if passedOn[o.id] && !begun[o.id] && o.cut() && o.took < noticeLimit && inTime {
			lost++
			s.logf("lost: %s was passed on, its channel ended without an answer %.3f s after SIGTERM, and the replica had not begun it", o.id, after.Seconds())
		}
	}
	s.logf("%d of %d waiting requests were lost", lost, short)
	return lost > 0, nil
}

// await waits for a free slot and takes it. It returns false if the daemon closes the
// connection first.
func (a *arrival) await(slots chan struct{}) bool {
	for {
		select {
		case slots <- struct{}{}:
			// A caller that leaves frees slots for others that may have left with it.
			if !a.sleep(5 * time.Millisecond) {
				<-slots
				return false
			}
			return true
		default:
		}
		if !a.sleep(20 * time.Millisecond) {
			return false
		}
	}
}

// count changes one of the replica's counters.
func (r *replica) count(counter *int, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter += by
}
