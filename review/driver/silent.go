package main

import (
	"sync"
	"syscall"
	"time"
)

// silentStream checks LOST: streams whose sound engine is silent for a while, as it is
// when it preempts them, while the other engines are full.
func silentStream(s *stage) (broken bool, err error) {
	const (
		streams = 20
		events  = 57
		gap     = 30 * time.Millisecond
		// pauseAt is the event before which the engine is silent.
		pauseAt = 20
		// pause is much shorter than the 8 s after which consumers abandon a stream.
		pause = 2500 * time.Millisecond
	)
	s.putConfig()
	var mu sync.Mutex
	leftByDaemon := make(map[string]bool) // runs of the sound engine that the daemon ended
	sound := func(a *arrival) bool {
		s.logf("replica %s runs %s from Last-Event-Id %q", a.replica.id, a.id, a.request.Header.Get("Last-Event-Id"))
		silence := time.Duration(0)
		if s.trouble && a.request.Header.Get("X-Token-Count") != "1460,30" {
			silence = pause
		}
		if a.stream(events, gap, pauseAt, silence) {
			return true
		}
		mu.Lock()
		defer mu.Unlock()
		leftByDaemon[a.id] = true // the engine itself never breaks off
		return false
	}
	full := func(a *arrival) bool { return a.refuse() }
	if _, err := s.startReplica("engine-1", engineService, "dublin-a", engineSlots, sound); err != nil {
		return false, err
	}
	for _, zone := range []string{"cork-a", "galway-a"} {
		if _, err := s.startReplica("engine-"+zone, engineService, zone, engineSlots, full); err != nil {
			return false, err
		}
	}
	d, err := s.startDaemon("edge-dublin-a-1", "dublin-a")
	if err != nil {
		return false, err
	}
	// Until the daemon has read the directory it assumes a large fleet, and repeats next
	// to nothing.
	time.Sleep(6 * time.Second)
	var channels []*channel
	var consumers sync.WaitGroup
	for n := range streams {
		c, err := s.open(d)
		if err != nil {
			return false, err
		}
		defer c.close()
		channels = append(channels, c)
		q := noticeCall(2000 + n)
		q.tokens = "1460,30"
		consumers.Go(func() { c.do(q) }) // a first stream, without a pause
	}
	consumers.Wait()
	hup := time.Now()
	if s.trouble {
		if err := s.signal(d, syscall.SIGHUP); err != nil {
			return false, err
		}
	}
	var outcomes []outcome
	for n, c := range channels {
		consumers.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			o := c.do(noticeCall(n))
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	consumers.Wait()
	time.Sleep(200 * time.Millisecond) // the engine sees the last close
	mu.Lock()
	defer mu.Unlock()
	lost := 0
	for _, o := range outcomes {
		planned := !s.trouble || o.sent.Sub(hup) <= configTime && o.ended().After(hup)
		if planned && leftByDaemon[o.id] && o.cut() && o.took < noticeLimit {
			lost++
		}
	}
	s.logf("%d of %d streams were cut by the daemon, none by the engine that ran them", lost, streams)
	return lost > 0, nil
}
