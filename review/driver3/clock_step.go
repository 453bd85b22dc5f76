package main

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	// clockStep is how far the time of day of a machine is ahead, and stepTime for how long.
	clockStep = 2 * time.Second
	stepTime  = 1200 * time.Millisecond
	// crashAfterStart is how long after its start the replica crashes, and crashTime how long
	// it is down.
	crashAfterStart = 700 * time.Millisecond
	crashTime       = 500 * time.Millisecond
	// calmTime is the time without any disruption before the replica drains. It is longer than
	// touch_ms.
	calmTime = 8 * time.Second
)

// clockStepBack starts a replica on a machine whose clock is ahead, and again under its id
// when the clock is right. Much later the replica drains.
func clockStepBack(r *run) (bool, error) {
	if _, err := r.addReplicas(bookingService, 2, standin.Behaviour{Work: bookingWork}); err != nil {
		return false, err
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
	time.Sleep(5 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ends := make(map[string]*outcomes)
	var wait sync.WaitGroup
	for _, d := range r.daemons {
		c, s := newConsumer(d.name, d.front, bookingPrefix, drainTime), &outcomes{}
		ends[d.name] = s
		wait.Go(func() { c.sendEvery(ctx, bookingInterval, 16, s) })
	}

	machine := &wallClock{}
	if r.trouble {
		machine.ahead = clockStep
		r.notef("the time of day of a replica's machine jumps ahead by %v", clockStep)
	}
	stepped := time.Now()
	first, err := standin.StartReplica("i-stepped")
	if err != nil {
		return false, err
	}
	first.Set(standin.Behaviour{Work: bookingWork})
	born := machine.now()
	if err := r.registerBorn(first, "ready", born); err != nil {
		return false, err
	}
	time.Sleep(crashAfterStart)
	first.Close()
	r.notef("replica %s crashes", first.ID)
	machine.ahead = 0 // stepTime is over when the replica starts again
	time.Sleep(max(crashTime, time.Until(stepped.Add(stepTime))))
	r.notef("the time of day is right again")
	second, err := first.Restart(first.ID)
	if err != nil {
		return false, err
	}
	second.Set(standin.Behaviour{Work: bookingWork})
	born = machine.now()
	if err := r.registerBorn(second, "ready", born); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	if err := r.registerBorn(second, "draining", born); err != nil {
		return false, err
	}
	acked := time.Now()
	time.Sleep(drainTime + exitAfterDrain)
	second.Close()
	r.store.Drop("servers", second.ID)
	exited := time.Now()
	r.notef("replica %s has ended and left the store", second.ID)
	time.Sleep(time.Second)
	stop()
	wait.Wait()
	return r.judgeDrain(second, acked, exited, "", ends), nil
}

// wallClock is the time of day of one machine.
type wallClock struct{ ahead time.Duration }

func (c *wallClock) now() int64 { return time.Now().Add(c.ahead).UnixMilli() }

// registerBorn writes the entry of a replica that states its start by its machine's clock.
func (r *run) registerBorn(s *standin.Replica, state string, born int64) error {
	var entry fields
	if err := json.Unmarshal(s.Registration(bookingService, zone, state), &entry); err != nil {
		return err
	}
	entry["born"] = born
	data, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	r.store.Put("servers", s.ID, data)
	r.notef("the store has acknowledged that replica %s at %s, born %d, is %s", s.ID, s.Address(), born, state)
	return nil
}
