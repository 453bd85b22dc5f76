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
		period = time.Second / 17 // the bookings and look-ups of maraval-desk
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
	newReplica := func(id string) *replica {
		return &replica{id: id, service: "wuno96b", zone: "maracas", version: "v1", slots: 6, handle: handle}
	}
	leaving, next := newReplica("i-7f3a91c2"), newReplica("i-55d0c1aa")
	staying := []*replica{newReplica("i-02d9e6b4"), newReplica("i-c3b8f720")}
	for _, r := range append([]*replica{leaving, next}, staying...) {
		if err := w.startReplica(r); err != nil {
			return nil, err
		}
		if r != next {
			r.register("ready")
		}
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
	at(start, 1500*time.Millisecond)
	next.register("ready")
	staying = append(staying, next)
	at(start, 2*time.Second)
	leaving.unregister()
	removed := time.Now()
	at(start, 5500*time.Millisecond)
	away := time.Now()
	if trouble {
		w.record("store: away")
		w.store.SetFault(standin.Reset)
		at(start, 6*time.Second)
		w.store.RestoreAge(4500 * time.Millisecond)
		w.store.SetFault(standin.Healthy)
		w.record("store: back from a copy that is 4.5 s old; the entry of %s is there again", leaving.id)
		w.configure(7, routes...)
		for _, r := range staying {
			r.register("ready")
		}
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
	return judgeDrain(w, arrivals[leaving.id], removed, away, failed)
}

// judgeDrain looks for requests that reached the replica later than drain_ms after the store
// had accepted that it is gone. That the daemon has acknowledged it shows in that none came
// later than drain_ms while the store was stable.
func judgeDrain(w *world, arrivals []time.Time, removed, away time.Time, failed int) (*verdict, error) {
	v := &verdict{}
	var before, stable, late int
	for _, t := range arrivals {
		switch {
		case t.Before(removed):
			before++
		case t.Sub(removed) <= drainTime:
		case t.Before(away):
			stable++
		default:
			late++
		}
	}
	w.record("requests at the replica: %d before its entry was removed; later than drain_ms: %d before the store went away, %d after", before, stable, late)
	w.record("%d requests failed", failed)
	if before == 0 || stable > 0 {
		return nil, fmt.Errorf("%w: the daemon has not acknowledged the leaving", errCannotRun)
	}
	if late > 0 {
		v.breaks("DRAIN: %d requests reached the replica later than %s after its entry was removed", late, drainTime)
	}
	return v, nil
}
