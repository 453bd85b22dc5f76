package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// unsealedSuccess checks MIXED: engines in trouble answer with a body that does not end,
// and consumers of another service, whose replicas are sound, get successes without the
// replica's seal.
func unsealedSuccess(s *stage) (broken bool, err error) {
	s.putConfig()
	for _, zone := range []string{"dublin-a", "cork-a", "galway-a"} {
		if _, err := s.startReplica("engine-"+zone, engineService, zone, engineSlots, s.engineInTrouble); err != nil {
			return false, err
		}
		if _, err := s.startReplica("desk-"+zone, deskService, zone, deskSlots, desk); err != nil {
			return false, err
		}
	}
	d, err := s.startDaemon("edge-dublin-a-1", "dublin-a")
	if err != nil {
		return false, err
	}
	// Six requests a second to the engines: twice this machine's share of the sheet's
	// 24.5, as in the site's bursts.
	const notices, spacing = 90, time.Second / 6
	var consumers sync.WaitGroup
	for n := range notices {
		consumers.Go(func() {
			time.Sleep(time.Duration(n) * spacing)
			if _, err := s.callOnce(d, noticeCall(n)); err != nil {
				s.logf("notice %d: %v", n, err)
			}
		})
	}
	// Three calls a second for 22 s, on one channel: status questions and bookings in turn.
	unsealed, served := 0, 0
	c, err := s.open(d)
	if err != nil {
		return false, err
	}
	defer c.close()
	for n := range 66 {
		q := statusCall()
		if n%2 == 1 {
			q = bookCall()
		}
		o := c.do(q)
		if o.status >= 200 && o.status < 300 && o.complete {
			served++
			if o.header.Get("X-Replica-Seal") == "" {
				unsealed++
			}
		}
		time.Sleep(time.Second / 3)
	}
	consumers.Wait()
	s.logf("status questions and bookings: %d successes, %d of them without X-Replica-Seal", served, unsealed)
	return unsealed > 0, nil
}

// engineInTrouble answers with an error whose body does not end until the caller closes.
// Without trouble it is a sound engine.
func (s *stage) engineInTrouble(a *arrival) bool {
	if !s.trouble {
		s.logf("replica %s runs %s", a.replica.id, a.id)
		return a.stream(20, 30*time.Millisecond, 0, 0)
	}
	s.logf("replica %s answers %s with a body without end", a.replica.id, a.id)
	if !a.write(a.head(http.StatusInternalServerError) + "Content-Type: text/plain\r\nConnection: close\r\n\r\n") {
		return false
	}
	block := strings.Repeat("x", 16<<10)
	for a.write(block) {
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
