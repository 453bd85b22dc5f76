package main

import (
	"net/http"
	"sync"
	"time"
)

// resumedTwice checks TWICE: streams that an engine has preempted go on at another engine,
// and the first one generates more of them afterwards.
func resumedTwice(s *stage) (broken bool, err error) {
	const (
		streams = 20
		events  = 57
		gap     = 30 * time.Millisecond
		// pauseAt is the event before which the engine preempts the stream and reads it
		// in again.
		pauseAt = 20
		pause   = 2500 * time.Millisecond
		allowed = 400 * time.Millisecond
	)
	s.putConfig()
	var mu sync.Mutex
	generatedAt := make(map[string]time.Time) // last event of the first engine, by request
	sawClose := make(map[string]bool)         // the daemon's close has reached the first engine
	resumedAt := make(map[string]time.Time)   // at the second engine
	preempting := func(a *arrival) bool {
		s.logf("replica %s runs %s", a.replica.id, a.id)
		out := a.begin()
		for n := 1; n <= events; n++ {
			if n == pauseAt && s.trouble {
				s.logf("replica %s preempts %s behind event %d and reads it in again", a.replica.id, a.id, n-1)
				time.Sleep(pause) // it looks at the channel only to write
				s.logf("replica %s goes on with %s", a.replica.id, a.id)
			}
			time.Sleep(gap)
			mu.Lock()
			generatedAt[a.id] = time.Now()
			mu.Unlock()
			s.logf("replica %s has generated event %d of %s", a.replica.id, n, a.id)
			if !out.event(n) {
				mu.Lock()
				sawClose[a.id] = true
				mu.Unlock()
				s.logf("replica %s finds the channel of %s closed", a.replica.id, a.id)
				return false
			}
		}
		return out.end()
	}
	sound := func(a *arrival) bool {
		last := a.request.Header.Get("Last-Event-Id")
		s.logf("replica %s runs %s from Last-Event-Id %q", a.replica.id, a.id, last)
		if last != "" {
			mu.Lock()
			resumedAt[a.id] = time.Now()
			mu.Unlock()
		}
		return a.stream(events, gap, 0, 0)
	}
	if _, err := s.startReplica("engine-1", engineService, "dublin-a", engineSlots, preempting); err != nil {
		return false, err
	}
	if _, err := s.startReplica("engine-2", engineService, "dublin-a", engineSlots, sound); err != nil {
		return false, err
	}
	d, err := s.startDaemon("edge-dublin-a-1", "dublin-a")
	if err != nil {
		return false, err
	}
	// Until the daemon has read the directory it assumes a large fleet, and repeats next
	// to nothing.
	time.Sleep(6 * time.Second)
	var consumers sync.WaitGroup
	for n := range streams {
		consumers.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			o, err := s.callOnce(d, noticeCall(n))
			if err != nil || o.status != http.StatusOK {
				s.logf("stream %d: status %d, %v", n, o.status, err)
			}
		})
	}
	consumers.Wait()
	time.Sleep(time.Second) // the engine ends what it still works on
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, at := range resumedAt {
		// The rule asks that the machine reaches the first engine: its close has.
		if later := generatedAt[id].Sub(at); later > allowed && sawClose[id] {
			twice++
			s.logf("twice: %s went on at engine-2, and engine-1 generated an event of it %.3f s later", id, later.Seconds())
		}
	}
	s.logf("%d of %d streams went on at another engine while the first one still worked on them 400 ms later", twice, streams)
	return twice > 0, nil
}
