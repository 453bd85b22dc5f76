package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	// minTakenUp is the number of streams from which the rule counts.
	minTakenUp = 12
	// goOnShare is the part of the share of new streams that begin of which the share of
	// those that are taken up must not fall short.
	goOnShare = 0.5
)

// playTakenUp stops a daemon whose streams are at replicas of two software versions, and lets
// the store come back from an older copy before the daemon ends.
func playTakenUp(w *world, trouble bool) (*verdict, error) {
	const (
		streams = 20
		events  = 34
		gap     = 400 * time.Millisecond
		limit   = 15 * time.Second
		age     = 3 * time.Second
	)
	routes := []route{seasonReview(), lessonPlan()}
	w.configure(7, routes...)
	stream := func(e *exchange) bool {
		if _, err := e.readBody(); err != nil {
			return false
		}
		first := 1
		if last, err := strconv.Atoi(e.req.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		ok := e.head()
		for n := first; ok && n <= events; n++ {
			time.Sleep(gap)
			ok = e.event(n)
		}
		return ok && e.endStream()
	}
	var replicas []*replica
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		r := &replica{id: fmt.Sprintf("i-7f3a91c%d", i), service: "huvo11a", zone: "maracas", version: version, slots: 128, handle: stream}
		if err := w.startReplica(r); err != nil {
			return nil, err
		}
		r.register("ready")
		replicas = append(replicas, r)
	}
	daemons, err := w.startDaemons(2)
	if err != nil {
		return nil, err
	}
	a, b := daemons[0], daemons[1]
	time.Sleep(inTouchTime)
	start := time.Now()
	first, second := make([]*attempt, streams), make([]*attempt, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			sent := time.Now()
			r := request{method: "POST", path: "/lohu930/2f", header: prompt(i), body: []byte("prompt"), limit: limit}
			first[i] = send(a.front, fmt.Sprintf("9c41d07be2a300%02d", i), r)
			w.record("consumer: %s, versions %v, last event %d, at %s", first[i], first[i].versions(), first[i].lastEvent(), a.name)
			if first[i].err == nil || first[i].lastEvent() == 0 {
				return
			}
			r.header = prompt(i)
			r.header["Last-Event-Id"] = strconv.Itoa(first[i].lastEvent())
			r.header["Resumes"] = first[i].id
			r.limit = time.Until(sent.Add(limit))
			second[i] = send(b.front, fmt.Sprintf("9c41d07be2a310%02d", i), r)
			w.record("consumer: %s, taken up behind event %d at %s, versions %v", second[i], first[i].lastEvent(), b.name, second[i].versions())
		})
	}
	at(start, time.Second)
	stopped := make(chan struct{})
	go func() { a.stop(); close(stopped) }()
	at(start, 2*time.Second)
	if trouble {
		w.record("store: away")
		w.store.SetFault(standin.Reset)
		at(start, 2500*time.Millisecond)
		w.store.RestoreAge(age)
		w.store.SetFault(standin.Healthy)
		w.record("store: back from a copy that is %s old", age)
		w.configure(7, routes...)
		for _, r := range replicas {
			r.register("ready")
		}
	}
	at(start, 9*time.Second)
	fresh := make([]*attempt, minTakenUp)
	for i := range fresh {
		all.Go(func() {
			r := request{method: "POST", path: "/lohu930/2f", header: prompt(100 + i), body: []byte("prompt"), limit: 2 * time.Second}
			fresh[i] = send(b.front, fmt.Sprintf("9c41d07be2a320%02d", i), r)
		})
	}
	all.Wait()
	<-stopped
	return judgeTakenUp(w, second, fresh)
}

// judgeTakenUp compares the streams that were taken up with new ones at the same daemon.
func judgeTakenUp(w *world, second, fresh []*attempt) (*verdict, error) {
	taken, went, began := 0, 0, 0
	for _, s := range second {
		if s == nil {
			continue
		}
		taken++
		if s.lastEvent() > 0 {
			went++
		}
	}
	for _, f := range fresh {
		if f.lastEvent() > 0 {
			began++
		}
	}
	w.record("%d streams were taken up and %d of them went on; %d of %d new ones began", taken, went, began, len(fresh))
	if taken < minTakenUp || began == 0 {
		return nil, fmt.Errorf("%w: %d streams were taken up, %d new ones began", errCannotRun, taken, began)
	}
	v := &verdict{}
	if float64(went)/float64(taken) < goOnShare*float64(began)/float64(len(fresh)) {
		v.breaks("LOST: %d of %d streams that consumers took up went on", went, taken)
	}
	return v, nil
}
