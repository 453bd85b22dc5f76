package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// deadlyPart checks BUDGET: requests with a part that crashes each replica that begins to
// write an answer on it still reach replicas long after the fifth crash.
func deadlyPart(s *stage) (broken bool, err error) {
	const (
		deadly = "bad0cafe"
		// back is how long a crashed replica is away.
		back = 3 * time.Second
		// spacing is the time between two such requests, each at another machine.
		spacing  = 4 * time.Second
		requests = 22
		touch    = 4 * time.Second
		allowed  = 3
	)
	s.putConfig()
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	engine := func(a *arrival) bool {
		r := a.replica
		if !strings.Contains(a.request.Header.Get("X-Prompt-Prefix"), deadly) {
			return a.stream(17, 100*time.Millisecond, 0, 0)
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		s.logf("replica %s gets %s, with the deadly part: arrival %d", r.id, a.id, len(arrivals))
		mu.Unlock()
		if !a.sleep(200 * time.Millisecond) { // it reads the prompt
			return false
		}
		out := a.begin()
		out.event(1)
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		crashes = append(crashes, time.Now())
		s.logf("replica %s crashes behind the first event: crash %d", r.id, len(crashes))
		mu.Unlock()
		r.crash()
		time.AfterFunc(back, func() {
			if err := r.start(); err != nil {
				s.logf("replica %s does not start again: %v", r.id, err)
			}
		})
		return false
	}
	zones := []string{"dublin-a", "cork-a", "galway-a"}
	for i := range 9 {
		if _, err := s.startReplica(fmt.Sprintf("engine-%d", i+1), engineService, zones[i%3], engineSlots, engine); err != nil {
			return false, err
		}
	}
	var daemons []*daemon
	for i := range 8 {
		d, err := s.launch(fmt.Sprintf("edge-%s-%d", zones[i%3], i/3+1), zones[i%3])
		if err != nil {
			return false, err
		}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if err := d.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second) // the daemons find each other
	const first = "5c1e07a2:2520"
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	var lost atomic.Int64
	for _, d := range daemons {
		consumers.Go(func() { s.soundCompares(d, first, stop, &lost) })
	}
	for n := range requests {
		if s.trouble {
			d := daemons[n%len(daemons)]
			consumers.Go(func() {
				if _, err := s.callOnce(d, compareCall(5000+n, first+","+deadly+":3780")); err != nil {
					s.logf("deadly request %d: %v", n, err)
				}
			})
		}
		time.Sleep(spacing)
	}
	close(stop)
	consumers.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 5 {
		s.logf("%d crashes", len(crashes))
		return false, nil
	}
	late := 0
	for _, at := range arrivals {
		if at.Sub(crashes[4]) > touch {
			late++
		}
	}
	s.logf("%d crashes, which broke off %d sound streams", len(crashes), lost.Load())
	s.logf("%d requests with the deadly part reached replicas later than 4 s after the fifth crash, %d are allowed", late, allowed)
	return late > allowed, nil
}

// soundCompares sends sound requests with the same first part, one a second, until stop
// is closed. It counts the streams that are broken off.
func (s *stage) soundCompares(d *daemon, first string, stop <-chan struct{}, lost *atomic.Int64) {
	var streams sync.WaitGroup
	defer streams.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		streams.Go(func() {
			o, err := s.callOnce(d, compareCall(n, fmt.Sprintf("%s,91bd%04x:3780", first, n%72)))
			if err != nil {
				s.logf("sound request: %v", err)
			} else if o.cut() {
				lost.Add(1)
			}
		})
	}
}
