package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	// readerDaemons is the number of daemons of the zone.
	readerDaemons = 4
	// registerTime lets the daemons register, and settleTime lets them find each other. The
	// latter is longer than touch_ms.
	registerTime = 3 * time.Second
	settleTime   = 8 * time.Second
	// cutTime is how long the daemon is partitioned from the store.
	cutTime = 5500 * time.Millisecond
	// drainAfterCut is when the replica says that it is draining.
	drainAfterCut = 200 * time.Millisecond
	// drainTime is drain_ms of the settings.
	drainTime = 2500 * time.Millisecond
	// exitAfterDrain is how long after drain_ms the replica ends.
	exitAfterDrain = 700 * time.Millisecond

	bookingWork     = 60 * time.Millisecond
	bookingInterval = 40 * time.Millisecond
)

// silentReader partitions one daemon from the store, and lets a replica drain.
func silentReader(r *run) (bool, error) {
	replicas, err := r.addReplicas(bookingService, 3, standin.Behaviour{Work: bookingWork})
	if err != nil {
		return false, err
	}
	if err := r.putConfig(7); err != nil {
		return false, err
	}
	if err := r.addDaemons(readerDaemons); err != nil {
		return false, err
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	// Daemons of a first start may miss each other for some minutes. A restart in turn, as for
	// a new release of the system, shows each of them all others.
	time.Sleep(registerTime)
	for _, d := range r.daemons {
		if err := d.restart(); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ends := make(map[string]*outcomes)
	var wait sync.WaitGroup
	for _, d := range r.daemons {
		c, s := newConsumer(d.name, d.front, bookingPrefix, drainTime), &outcomes{}
		ends[d.name] = s
		wait.Go(func() { c.sendEvery(ctx, bookingInterval, 16, s) })
	}
	time.Sleep(time.Second)

	cut, err := r.awaitReader()
	if err != nil {
		return false, err
	}
	if r.trouble {
		cut.link.setCut(true)
		r.notef("%s is partitioned from the store", cut.name)
	}
	time.Sleep(drainAfterCut)
	leaving := replicas[0]
	r.register(leaving, bookingService, "draining")
	acked := time.Now()
	time.Sleep(drainTime + exitAfterDrain)
	leaving.Close()
	r.store.Drop("servers", leaving.ID)
	exited := time.Now()
	r.notef("replica %s has ended and left the store", leaving.ID)
	time.Sleep(cutTime - drainTime - exitAfterDrain - drainAfterCut)
	cut.link.setCut(false)
	r.notef("%s reaches the store again", cut.name)
	stop()
	wait.Wait()
	return r.judgeDrain(leaving, acked, exited, cut.name, ends), nil
}

// awaitReader waits until the daemon that reads the table of replicas for the others gets an
// answer from the store, and returns it.
func (r *run) awaitReader() (*daemon, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var reader *daemon
		for _, d := range r.daemons {
			asked, answered := d.link.lastPoll("servers")
			if age := time.Since(answered); !answered.IsZero() && asked.After(answered) && age > 20*time.Millisecond && age < 60*time.Millisecond {
				reader = d
			}
		}
		if reader == nil {
			continue
		}
		for _, d := range r.daemons {
			asked, _ := d.link.lastPoll("servers")
			r.notef("%s last asked the store for changes of the replicas %.1f s ago", d.name, time.Since(asked).Seconds())
		}
		return reader, nil
	}
	return nil, fmt.Errorf("%w: no daemon reads the table of replicas", errNotRun)
}

// judgeDrain applies DRAIN to what daemons that reach the store have sent to a replica.
func (r *run) judgeDrain(leaving *standin.Replica, acked, exited time.Time, cut string, ends map[string]*outcomes) bool {
	late := 0
	ran := make(map[string]standin.Run)
	for _, one := range leaving.Runs() {
		ran[one.ID] = one
	}
	for name, s := range ends {
		statuses := make(map[int]int)
		for _, o := range s.list() {
			statuses[o.status]++
			one, reached := ran[o.id]
			if !reached || !one.At.After(acked.Add(drainTime)) {
				continue
			}
			after := one.At.Sub(acked)
			if name == cut && r.trouble {
				r.notef("not counted: request %s of the partitioned %s reached %s %.3f s after the ack", o.id, name, leaving.ID, after.Seconds())
				continue
			}
			late++
			lost := ""
			if !one.Completed {
				lost = fmt.Sprintf(", ran and was lost when the replica ended (its consumer got %d, error %v)", o.status, o.err)
			}
			r.notef("DRAIN: request %s, sent to %s, reached %s %.3f s after the ack%s", o.id, name, leaving.ID, after.Seconds(), lost)
		}
		r.notef("answers at %s by status: %v", name, statuses)
	}
	r.notef("%d requests reached %s later than %v after the ack, through daemons that reach the store; it ended %.3f s after the ack",
		late, leaving.ID, drainTime, exited.Sub(acked).Seconds())
	return late > 0
}
