package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// playVersions replaces a replica by one of another software version, restarts a daemon
// and takes the store away while the consumers of the old replica take their streams up
// again at the restarted daemon.
func playVersions(w *world, trouble bool) (*verdict, error) {
	const (
		streams = 18
		spread  = 20 * time.Millisecond
	)
	w.configure(7, seasonReview(), lessonPlan())
	stream := func(e *exchange) bool {
		if _, err := e.readBody(); err != nil {
			return false
		}
		first := 1
		if last, err := strconv.Atoi(e.req.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		w.record("%s (%s): runs %s from event %d", e.r.id, e.r.version, e.id, first)
		if !e.head() {
			return false
		}
		for n := first; n <= 40; n++ {
			time.Sleep(250 * time.Millisecond)
			if !e.event(n) {
				return false
			}
		}
		return e.endStream()
	}
	newReplica := func(id, version string) *replica {
		return &replica{id: id, service: "huvo11a", zone: "maracas", version: version, slots: 128, handle: stream}
	}
	old, next := newReplica("i-7f3a91c2", "v1"), newReplica("i-02d9e6b4", "v2")
	for _, r := range []*replica{old, next, newReplica("i-55d0c1aa", "v2"), newReplica("i-c3b8f720", "v2")} {
		if err := w.startReplica(r); err != nil {
			return nil, err
		}
		if r != next {
			r.register("ready")
		}
	}
	daemons, err := w.startDaemons(2)
	if err != nil {
		return nil, err
	}
	a, b := daemons[0], daemons[1]
	start := time.Now()
	first := make([]*attempt, streams)
	second := make([]*attempt, streams)
	const limit = 15 * time.Second
	var all sync.WaitGroup
	for i := range streams {
		time.Sleep(spread)
		all.Go(func() {
			sent := time.Now()
			r := request{method: "POST", path: "/lohu930/2f", header: otherPrompt(i), body: []byte("prompt"), limit: limit}
			first[i] = send(a.front, fmt.Sprintf("9c41d07be2a300%02d", i), r)
			w.record("consumer: %s, last event %d, at %s", first[i], first[i].lastEvent(), a.name)
			if first[i].err == nil || first[i].lastEvent() == 0 {
				return
			}
			r.header = otherPrompt(i)
			r.header["Last-Event-Id"] = strconv.Itoa(first[i].lastEvent())
			r.header["Resumes"] = first[i].id
			r.limit = time.Until(sent.Add(limit))
			second[i] = send(b.front, fmt.Sprintf("9c41d07be2a310%02d", i), r)
			w.record("consumer: %s, taken up after event %d at %s", second[i], first[i].lastEvent(), b.name)
		})
	}
	at(start, 500*time.Millisecond)
	next.register("ready")
	at(start, 1000*time.Millisecond)
	old.unregister() // it goes on serving for drain_ms and some seconds
	at(start, 1200*time.Millisecond)
	b.stop()
	if err := b.start(); err != nil {
		return nil, err
	}
	if err := b.awaitReady(); err != nil {
		return nil, err
	}
	at(start, 5500*time.Millisecond)
	if trouble {
		w.record("store: silent")
		w.store.SetFault(standin.Silent)
	}
	at(start, 6000*time.Millisecond)
	w.record("%s: leaves", old.id)
	old.end()
	at(start, 9500*time.Millisecond)
	if trouble {
		w.record("store: back")
		w.store.SetFault(standin.Healthy)
	}
	all.Wait()
	return judgeVersions(w, first, second)
}

// allowedMixed is how many streams may hold events of two software versions.
const allowedMixed = 2

// judgeVersions counts the streams that hold events of two software versions of the service,
// in one answer or over both tries.
func judgeVersions(w *world, first, second []*attempt) (*verdict, error) {
	v := &verdict{}
	taken, mixed := 0, 0
	for i, a := range first {
		all := a.versions()
		if second[i] != nil {
			taken++
			all = append(all, second[i].versions()...)
		}
		for _, version := range all {
			if version != all[0] {
				mixed++
				break
			}
		}
	}
	w.record("%d streams were taken up, %d hold events of two software versions", taken, mixed)
	if taken <= allowedMixed {
		return nil, fmt.Errorf("%w: %d streams were taken up", errCannotRun, taken)
	}
	if mixed > allowedMixed {
		v.breaks("ORDER: %d streams hold events of replicas of two software versions", mixed)
	}
	return v, nil
}
