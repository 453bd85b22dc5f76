package main

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// playPreempted lets a replica put streams aside for some seconds while the other replica
// of the service is full.
func playPreempted(w *world, trouble bool) (*verdict, error) {
	const (
		streams = 6
		events  = 20
		spread  = 60 * time.Millisecond
		gap     = 100 * time.Millisecond
		aside   = 4 * time.Second
		// asideAfter is the event behind which the stream is put aside.
		asideAfter = 8
	)
	w.configure(7, seasonReview(), lessonPlan())
	serving := &replica{id: "i-7f3a91c2", service: "huvo11a", zone: "maracas", version: "v1", slots: 128}
	serving.handle = func(e *exchange) bool {
		if _, err := e.readBody(); err != nil {
			return false
		}
		first := 1
		if last, err := strconv.Atoi(e.req.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		w.record("%s: runs %s from event %d", e.r.id, e.id, first)
		ok := e.head()
		for n := first; ok && n <= events; n++ {
			if trouble && n == asideAfter+1 && first == 1 {
				w.record("%s: puts %s aside behind event %d", e.r.id, e.id, n-1)
				if e.closedWithin(aside) {
					w.record("%s: the channel of %s was closed meanwhile", e.r.id, e.id)
					return false
				}
				w.record("%s: goes on with %s", e.r.id, e.id)
			}
			time.Sleep(gap)
			ok = e.event(n)
		}
		return ok && e.endStream()
	}
	full := &replica{id: "i-02d9e6b4", service: "huvo11a", zone: "maracas", version: "v1", slots: 128, running: 128, waiting: 12}
	full.handle = func(e *exchange) bool {
		_, _ = io.Copy(io.Discard, e.req.Body) // an error shows at the next read
		w.record("%s: is full and refuses %s", e.r.id, e.id)
		return e.write(fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Replica-Load: 128,12,128\r\nContent-Length: 0\r\n\r\n", e.id))
	}
	for _, r := range []*replica{serving, full} {
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
	time.Sleep(500 * time.Millisecond)
	w.record("%s: SIGHUP", d.name)
	d.signal(syscall.SIGHUP)
	out := make([]*attempt, streams)
	var all sync.WaitGroup
	for i := range streams {
		// The first ones may be refused by the full replica, which then gets none for a while.
		time.Sleep(spread)
		all.Go(func() {
			out[i] = send(d.front, fmt.Sprintf("9c41d07be2a3000%d", i), request{
				method: "POST", path: "/lohu930/2f", header: prompt(i), body: []byte("prompt"), limit: 15 * time.Second,
			})
			w.record("consumer: %s, last event %d of %d", out[i], out[i].lastEvent(), events)
		})
	}
	all.Wait()
	v := &verdict{}
	began := 0
	for _, a := range out {
		if a.lastEvent() == 0 {
			continue
		}
		began++
		if a.err != nil {
			v.breaks("LOST: the answer to %s was ended %.2f s after it was sent, behind event %d of %d", a.id, a.ended.Sub(a.sent).Seconds(), a.lastEvent(), events)
		}
	}
	if began == 0 {
		return nil, fmt.Errorf("%w: no stream began", errCannotRun)
	}
	return v, nil
}
