package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// configTime is config_ms of the settings.
	configTime = 2500 * time.Millisecond
	// lessonPlanTime is the route's timeout and the consumers' time limit of lesson-plan.
	lessonPlanTime = 8 * time.Second
)

// playSlowReader lets a replica answer a stream before it has read the request's body, of
// which it reads the rest some seconds later.
func playSlowReader(w *world, trouble bool) (*verdict, error) {
	const (
		streams = 4
		events  = 20
		gap     = 200 * time.Millisecond
		pause   = 2500 * time.Millisecond
		body    = 50_000
	)
	w.configure(7, seasonReview(), lessonPlan())
	r := &replica{id: "i-7f3a91c2", service: "huvo11a", zone: "maracas", version: "v1", slots: 128, receiveBuffer: 4 << 10}
	// left holds the requests whose channel the daemon has closed before their end.
	left := make(map[string]bool)
	var mu sync.Mutex
	r.handle = func(e *exchange) bool {
		w.record("%s: runs %s, body of %d bytes", r.id, e.id, e.req.ContentLength)
		read := make(chan error, 1)
		go func() {
			if trouble {
				time.Sleep(pause)
			}
			n, err := e.readBody()
			w.record("%s: has read %d bytes of the body of %s, error %v", r.id, n, e.id, err)
			read <- err
		}()
		ok := e.head()
		for n := 1; ok && n <= events; n++ {
			time.Sleep(gap)
			ok = e.event(n)
		}
		if !ok || <-read != nil {
			w.record("%s: the channel of %s was closed by the daemon", r.id, e.id)
			mu.Lock()
			left[e.id] = true
			mu.Unlock()
			return false
		}
		return e.endStream()
	}
	if err := w.startReplica(r); err != nil {
		return nil, err
	}
	r.register("ready")
	daemons, err := w.startDaemons(1)
	if err != nil {
		return nil, err
	}
	d := daemons[0]
	time.Sleep(inTouchTime)
	w.record("%s: SIGHUP", d.name)
	hup := time.Now()
	d.signal(syscall.SIGHUP)
	out := make([]*attempt, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			out[i] = send(d.front, fmt.Sprintf("9c41d07be2a3000%d", i), request{
				method: "POST", path: "/pufi791/2f", header: prompt(i), body: make([]byte, body), limit: lessonPlanTime,
			})
			w.record("consumer: %s, last event %d of %d", out[i], out[i].lastEvent(), events)
		})
	}
	all.Wait()
	time.Sleep(pause) // the replica notices the end of a channel when it writes or reads
	mu.Lock()
	defer mu.Unlock()
	v := &verdict{}
	for _, a := range out {
		planned := a.sent.Sub(hup) <= configTime && a.ended.After(hup)
		if a.err != nil && planned && left[a.id] && a.ended.Sub(a.sent) < lessonPlanTime {
			v.breaks("LOST: the answer to %s was ended %.2f s after it was sent, behind event %d of %d", a.id, a.ended.Sub(a.sent).Seconds(), a.lastEvent(), events)
		}
	}
	return v, nil
}
