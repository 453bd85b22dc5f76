package soak

import (
	"fmt"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	// transitTime is how long a request may be on its way to an upstream that has just
	// said that it wants no more.
	transitTime = 500 * time.Millisecond
	// pauseRequests is the number of requests that the users allow within a pause.
	pauseRequests = 2
)

// sender is one process of a daemon.
type sender struct {
	daemon *daemon
	start  time.Time
}

// checkAvailability looks for requests to upstreams that had told the same process that
// they leave, or that they want a pause.
func (f *fleet) checkAvailability(all []*exchange) []problem {
	byID := make(map[string]*exchange, len(all))
	leftAt := make(map[string]map[sender]time.Time) // by upstream
	for _, e := range all {
		byID[e.id] = e
		if e.leaving == "" {
			continue
		}
		if leftAt[e.leaving] == nil {
			leftAt[e.leaving] = make(map[sender]time.Time)
		}
		from := sender{e.daemon, e.run}
		if first, known := leftAt[e.leaving][from]; !known || e.headAt.Before(first) {
			leftAt[e.leaving][from] = e.headAt
		}
	}
	var out []problem
	for _, u := range f.upstreams {
		for _, r := range u.replicas {
			arrivals := make(map[sender][]time.Time)
			for _, run := range r.Runs() {
				e := byID[run.ID]
				if e == nil {
					continue // checkRuns reports it
				}
				from := sender{e.daemon, e.run}
				arrivals[from] = append(arrivals[from], run.At)
				if told, left := leftAt[r.ID][from]; left && e.sent.After(told.Add(transitTime)) {
					out = append(out, problem{fmt.Sprintf("sent %s after %s had said to %s that it leaves", e.sent.Sub(told), r.ID, e.daemon.name), e.id})
				}
			}
			out = append(out, checkPauses(r, byID, arrivals)...)
		}
	}
	return out
}

// checkPauses looks for requests that arrived at an upstream within the pauses that it
// had asked for.
func checkPauses(r *standin.Replica, byID map[string]*exchange, arrivals map[sender][]time.Time) []problem {
	refusals := r.Refusals()
	for _, refusal := range refusals {
		if e := byID[refusal.ID]; e != nil {
			from := sender{e.daemon, e.run}
			arrivals[from] = append(arrivals[from], refusal.At)
		}
	}
	var out []problem
	for _, refusal := range refusals {
		e := byID[refusal.ID]
		if e == nil || !e.daemon.calmSince(refusal.At) {
			continue
		}
		within := 0
		for _, at := range arrivals[sender{e.daemon, e.run}] {
			if at.After(refusal.At.Add(transitTime)) && at.Before(refusal.At.Add(refusal.Pause)) {
				within++
			}
		}
		if within > pauseRequests {
			out = append(out, problem{fmt.Sprintf("%d requests from %s reached %s within a pause of %s", within, e.daemon.name, r.ID, refusal.Pause), refusal.ID})
		}
	}
	return out
}

// calmSince reports whether nothing has happened to the daemon since a time.
func (d *daemon) calmSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calm.Before(at)
}
