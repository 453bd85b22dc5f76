package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	// firstReplicas run the first software version of the model service, secondReplicas the
	// second one.
	firstReplicas  = 9
	secondReplicas = 3
	// interruptedStreams is the number of streams whose channels break, interruptedEvents the
	// number of events that their consumers have then.
	interruptedStreams = 40
	interruptedEvents  = 15
	interruptedSpread  = 25 * time.Millisecond
	// takeUpDelay is how long after that a consumer takes its stream up.
	takeUpDelay = 200 * time.Millisecond
	// newStreams is the number of streams that begin meanwhile.
	newStreams = 40
	// takenUpThatCount is the number of streams from which the rule applies.
	takenUpThatCount = 12
	// foreignService is a service that no configuration names.
	foreignService = "old-pool"
)

// foreignEntries lets another writer list the addresses of some replicas under a service that
// is not named in the configuration, while consumers take streams up.
func foreignEntries(r *run) (bool, error) {
	behaviour := standin.Behaviour{Events: streamEvents, Work: eventInterval, NameVersion: true}
	first, err := r.addReplicas(modelService, firstReplicas, behaviour)
	if err != nil {
		return false, err
	}
	for i := range secondReplicas {
		s, err := standin.StartReplica("i-second-" + strconv.Itoa(i+1))
		if err != nil {
			return false, err
		}
		s.SoftwareVersion = "v2"
		s.Set(behaviour)
		r.register(s, modelService, "ready")
	}
	if err := r.putConfig(7); err != nil {
		return false, err
	}
	if err := r.addDaemons(2); err != nil {
		return false, err
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(settleTime)

	// All interrupted streams have begun before the other writer comes, and break after that.
	var wait sync.WaitGroup
	tries := make([]try, interruptedStreams)
	for i := range tries {
		t := &tries[i]
		t.number, t.begun, t.next = i+1, r.daemons[i%2], r.daemons[(i+1)%2]
		wait.Go(t.play)
		time.Sleep(interruptedSpread)
	}
	if r.trouble {
		for i, one := range first {
			if err := r.putForeign(fmt.Sprintf("pool-member-%d", i+1), one.Address()); err != nil {
				return false, err
			}
		}
	}
	begun := &outcomes{}
	for i := range newStreams {
		c := newConsumer(fmt.Sprintf("new-%d", i+1), r.daemons[i%2].front, streamPrefix, 15*time.Second)
		c.header = ordinaryPrompt
		wait.Go(func() { begun.add(c.send(context.Background())) })
		time.Sleep(2 * interruptedSpread)
	}
	wait.Wait()
	return r.judgeTakenUp(tries, begun.list()), nil
}

// try is a stream that begins at one daemon and is taken up at another one.
type try struct {
	number      int
	begun, next *daemon
	version     string
	first, rest outcome
}

func (t *try) play() {
	c := newConsumer(fmt.Sprintf("interrupted-%d", t.number), t.begun.front, streamPrefix, 15*time.Second)
	c.header = ordinaryPrompt
	c.events = interruptedEvents
	t.first = c.send(context.Background())
	if event := eventVersion.FindStringSubmatch(t.first.body); event != nil {
		t.version = event[3]
	}
	time.Sleep(takeUpDelay)
	c = newConsumer(fmt.Sprintf("taken-up-%d", t.number), t.next.front, streamPrefix, 12*time.Second)
	c.header = func(n int) map[string]string {
		header := ordinaryPrompt(n)
		header["Last-Event-Id"] = strconv.Itoa(interruptedEvents)
		header["Resumes"] = t.first.id
		return header
	}
	t.rest = c.send(context.Background())
}

// putForeign writes an entry as another writer does.
func (r *run) putForeign(id, address string) error {
	data, err := json.Marshal(fields{
		"service": foreignService, "addr": address, "zone": zone, "version": "v1",
		"slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	r.store.Put("servers", id, data)
	r.notef("another writer has listed %s as %s of service %s, which no configuration names", address, id, foreignService)
	return nil
}

// judgeTakenUp applies LOST to the streams that were taken up.
func (r *run) judgeTakenUp(tries []try, begun []outcome) bool {
	taken, goOn := 0, 0
	for _, t := range tries {
		if t.version == "" {
			r.notef("stream %s did not begin: %d %.40q %v", t.first.id, t.first.status, t.first.body, t.first.err)
			continue
		}
		taken++
		if t.rest.status == 200 && eventVersion.MatchString(t.rest.body) {
			goOn++
			continue
		}
		r.notef("LOST: %s took up stream %s, of which it had %d events of %s, at %s: %d %.60q %v",
			t.rest.id, t.first.id, interruptedEvents, t.version, t.next.name, t.rest.status, t.rest.body, t.rest.err)
	}
	started := 0
	for _, o := range begun {
		if o.status == 200 && eventVersion.MatchString(o.body) {
			started++
		}
	}
	r.notef("%d of %d streams that were taken up went on; %d of %d new streams began; %d replicas of v1 and %d of v2 served",
		goOn, taken, started, len(begun), firstReplicas, secondReplicas)
	// The share of the streams that go on is under half of the share of new ones that begin.
	return taken >= takenUpThatCount && started > 0 && 2*goOn*len(begun) < started*taken
}
