package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// drainTime is drain_ms of the settings.
const drainTime = 2500 * time.Millisecond

// booking is the route of maraval-desk whose requests run at most once.
func booking() route {
	return route{
		Name: "r-0pxw91k", Prefix: "/puxa403/", Type: "non_idempotent", TimeoutMS: 3000, GoalMS: 300,
		Priority: 2, Attempts: 2, Service: "wuno96b",
	}
}

// playRestored takes a replica's entry out of the store and lets the store come back, some
// seconds later, from a copy that still has it.
func playRestored(w *world, trouble bool) (*verdict, error) {
	const (
		// serves is how long the replica goes on after its entry was removed.
		serves = 5 * time.Second
		// beat is beat_ms, within which the removal is written again.
		beat   = 1200 * time.Millisecond
		work   = 300 * time.Millisecond
		period = 40 * time.Millisecond
	)
	routes := []route{booking()}
	w.configure(7, routes...)
	var mu sync.Mutex
	arrivals := make(map[string][]time.Time)
	handle := func(e *exchange) bool {
		mu.Lock()
		arrivals[e.r.id] = append(arrivals[e.r.id], time.Now())
		mu.Unlock()
		if _, err := e.readBody(); err != nil {
			return false
		}
		time.Sleep(work)
		return e.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s.%s\r\nX-Replica-Load: 1,0,6\r\nContent-Length: 2\r\n\r\nok", e.id, e.r.id, e.id))
	}
	leaving := &replica{id: "i-7f3a91c2", service: "wuno96b", zone: "maracas", version: "v1", slots: 6, handle: handle}
	staying := &replica{id: "i-02d9e6b4", service: "wuno96b", zone: "maracas", version: "v1", slots: 6, handle: handle}
	for _, r := range []*replica{leaving, staying} {
		if err := w.startReplica(r); err != nil {
			return nil, err
		}
		r.register("ready")
	}
	daemons, err := w.startDaemons(1)
	if err != nil {
		return nil, err
	}
	d := daemons[0]
	time.Sleep(inTouchTime)
	start := time.Now()
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	failed := 0
	consumers.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(period):
			}
			consumers.Go(func() {
				a := send(d.front, fmt.Sprintf("9c41d07be2a3%04d", n), request{method: "POST", path: "/puxa403/2f", body: []byte("book"), limit: 3 * time.Second})
				if a.status != 200 || a.err != nil {
					mu.Lock()
					failed++
					mu.Unlock()
					w.record("consumer: %s", a)
				}
			})
		}
	})
	at(start, 2*time.Second)
	leaving.unregister()
	removed := time.Now()
	at(start, 5500*time.Millisecond)
	if trouble {
		w.record("store: away")
		w.store.SetFault(standin.Reset)
		at(start, 6*time.Second)
		w.store.RestoreAge(4500 * time.Millisecond)
		w.store.SetFault(standin.Healthy)
		w.record("store: back from a copy that is 4.5 s old; the entry of %s is there again", leaving.id)
		w.configure(7, routes...)
		staying.register("ready")
	}
	at(start, 2*time.Second+serves)
	w.record("%s: leaves", leaving.id)
	leaving.end()
	at(start, 6*time.Second+beat)
	if trouble {
		leaving.unregister() // what was written is written again
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	consumers.Wait()
	mu.Lock()
	defer mu.Unlock()
	return judgeDrain(w, arrivals[leaving.id], removed, failed), nil
}

// judgeDrain looks for requests that reached the replica later than drain_ms after the
// daemon, which follows the store, had learned that it is gone. ackSlack is what the
// daemon may have needed for that.
func judgeDrain(w *world, arrivals []time.Time, removed time.Time, failed int) *verdict {
	const ackSlack = time.Second
	v := &verdict{}
	var before, late int
	var last time.Time
	for _, t := range arrivals {
		switch after := t.Sub(removed); {
		case after > drainTime+ackSlack:
			late++
		case after > 0:
			last = t
		default:
			before++
		}
	}
	if !last.IsZero() {
		w.record("the last request before the restoration came %.2f s after the entry was removed", last.Sub(removed).Seconds())
	}
	w.record("%d requests reached the replica before its entry was removed, %d too late; %d failed", before, late, failed)
	if late > 0 {
		v.breaks("DRAIN: %d requests reached the replica more than %s after its entry was removed", late, drainTime+ackSlack)
	}
	return v
}
