package main

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	// modelReplicas is the number of replicas of the model service. upgradedReplicas of them
	// are replaced, one each upgradeGap.
	modelReplicas    = 12
	upgradedReplicas = 5
	upgradeGap       = time.Second
	// upgradeDaemons is the number of daemons.
	upgradeDaemons = 3
	// storeDownTime is how long the store is down, and upgradeAfterDown when the first
	// replica is replaced.
	storeDownTime    = 4500 * time.Millisecond
	upgradeAfterDown = 100 * time.Millisecond
	// replicaDownTime is how long a replica takes to start again.
	replicaDownTime = 300 * time.Millisecond
	// mixedStreams is the number of streams of two versions that the rule tolerates.
	mixedStreams = 2

	streamEvents   = 40
	eventInterval  = 100 * time.Millisecond
	streamInterval = 125 * time.Millisecond
)

// upgradeInPlace replaces the software of replicas, one after the other, under their ids
// while the store is down.
func upgradeInPlace(r *run) (bool, error) {
	behaviour := standin.Behaviour{Events: streamEvents, Work: eventInterval, NameVersion: true}
	replicas, err := r.addReplicas(modelService, modelReplicas, behaviour)
	if err != nil {
		return false, err
	}
	if err := r.putConfig(7); err != nil {
		return false, err
	}
	if err := r.addDaemons(upgradeDaemons); err != nil {
		return false, err
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait sync.WaitGroup
	ends := &outcomes{}
	for _, d := range r.daemons {
		c := newConsumer(d.name, d.front, streamPrefix, 15*time.Second)
		c.header = ordinaryPrompt
		wait.Go(func() { c.sendEvery(ctx, streamInterval, 200, ends) })
	}
	time.Sleep(4 * time.Second)

	if r.trouble {
		r.store.SetFault(standin.Busy)
		r.notef("the store is down: it answers 503")
	}
	downAt := time.Now()
	time.Sleep(upgradeAfterDown)
	var unwritten []*standin.Replica
	for i := range upgradedReplicas {
		begun := time.Now()
		old := replicas[i]
		old.Close()
		time.Sleep(replicaDownTime)
		next, err := old.Restart(old.ID)
		if err != nil {
			return false, err
		}
		next.SoftwareVersion = "v2"
		next.Set(behaviour)
		r.notef("replica %s has started again under its id, at %s, with software v2", next.ID, next.Address())
		if r.trouble {
			unwritten = append(unwritten, next) // its writes get 503 until the store is back
		} else {
			r.register(next, modelService, "ready")
		}
		time.Sleep(time.Until(begun.Add(upgradeGap)))
	}
	time.Sleep(time.Until(downAt.Add(storeDownTime)))
	if r.trouble {
		r.store.SetFault(standin.Healthy)
		r.notef("the store is back")
	}
	for _, one := range unwritten {
		r.register(one, modelService, "ready")
	}
	time.Sleep(time.Second)
	stop()
	wait.Wait()
	return r.judgeVersions(ends.list()), nil
}

// ordinaryPrompt returns a prompt of two shared parts and one of the request's own.
func ordinaryPrompt(n int) map[string]string {
	return map[string]string{
		"X-Model": "m", "X-Token-Count": "1460,120", "X-Prompt-Prefix": fmt.Sprintf("%x:210,%x:140,%x:1110", n%40+1, n%88+100, n+1000),
	}
}

var eventVersion = regexp.MustCompile(`(?m)^data: (\S+) part (\d+) of (\S+)$`)

// judgeVersions applies ORDER to the answers of consumers.
func (r *run) judgeVersions(ends []outcome) bool {
	mixed, whole, broken := 0, 0, 0
	refused := make(map[int]int)
	for _, o := range ends {
		if o.status != 200 {
			refused[o.status]++
			continue
		}
		var versions []string
		var parts []string
		for _, event := range eventVersion.FindAllStringSubmatch(o.body, -1) {
			parts = append(parts, event[2]+"@"+event[3])
			if !slices.Contains(versions, event[3]) {
				versions = append(versions, event[3])
			}
		}
		if len(parts) == streamEvents && o.err == nil {
			whole++
		} else {
			broken++
		}
		if len(versions) > 1 {
			mixed++
			r.notef("ORDER: answer to %s holds events of %s: %s", o.id, strings.Join(versions, " and "), strings.Join(parts, " "))
		}
	}
	r.notef("%d streams: %d whole, %d broken off, other answers by status %v; %d hold events of two software versions, %d are tolerated",
		len(ends), whole, broken, refused, mixed, mixedStreams)
	return mixed > mixedStreams
}
