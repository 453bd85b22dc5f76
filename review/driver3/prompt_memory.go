package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	// promptDaemons is the number of daemons, both of which consumers reach.
	promptDaemons = 2
	// memoryMB is memory_mb of the site's machines.
	memoryMB = 134
	// endsThatSuffice is how often each process ends before the case is over.
	endsThatSuffice = 3
	promptTime      = 95 * time.Second
	// lostThatCount is the number of lost requests that the rule tolerates.
	lostThatCount = 3
	// promptInterval is the time between two requests of the consumers with long prompts.
	promptInterval = 16 * time.Millisecond
	// promptParts is the number of parts of such a prompt. Its header has under 16 KB.
	promptParts = 1400
	// memoryInterval is how often the memory of a process is measured, and noteInterval how
	// often it is recorded.
	memoryInterval = 20 * time.Millisecond
	noteInterval   = 5 * time.Second
	// restartDelay is how long after its end a process starts again.
	restartDelay = time.Second
)

// promptMemory sends prompts of very many short parts, and ends processes that exceed the
// memory of their machine as the platform does.
func promptMemory(r *run) (bool, error) {
	models, err := r.addReplicas(modelService, "dublin-a", 9, standin.Behaviour{Events: 3, Work: 5 * time.Millisecond})
	if err != nil {
		return false, err
	}
	bookings, err := r.addReplicas(bookingService, "dublin-a", 3, standin.Behaviour{Work: bookingWork})
	if err != nil {
		return false, err
	}
	if err := r.putConfig(7); err != nil {
		return false, err
	}
	for i := range promptDaemons {
		if _, err := r.addDaemon(fmt.Sprintf("edge-dublin-a-%d", i+1), site{zone: "dublin-a", region: "leinster", memoryMB: memoryMB}); err != nil {
			return false, err
		}
	}
	if err := r.startAll(); err != nil {
		return false, err
	}
	ctx, stop := context.WithTimeout(context.Background(), promptTime)
	defer stop()
	var wait sync.WaitGroup
	type sender struct {
		what string
		ends *outcomes
	}
	var senders []sender
	for _, d := range r.daemons {
		long := newConsumer(d.name+"-long", d.front, streamPrefix, 15*time.Second)
		long.header = r.longPrompt
		booking := newConsumer(d.name+"-booking", d.front, bookingPrefix, 2500*time.Millisecond)
		senders = append(senders, sender{"prompts at " + d.name, &outcomes{}}, sender{"bookings at " + d.name, &outcomes{}})
		prompts, bookings := senders[len(senders)-2].ends, senders[len(senders)-1].ends
		wait.Go(func() { long.sendEvery(ctx, promptInterval, 16, prompts) })
		wait.Go(func() { booking.sendEvery(ctx, 100*time.Millisecond, 16, bookings) })
	}
	ends := r.superviseMemory(ctx, stop)
	stop()
	wait.Wait()
	ran := make(map[string]bool)
	for _, one := range append(models, bookings...) {
		for _, run := range one.Runs() {
			ran[run.ID] = true
		}
	}
	lost := 0
	for _, s := range senders {
		statuses := make(map[string]int)
		for _, o := range s.ends.list() {
			switch {
			case o.status == 0 && o.reused && ran[o.id]:
				lost++
				statuses["LOST"]++
				r.notef("LOST: request %s ran at a replica, and its kept channel ended without an answer after %.3f s: %v",
					o.id, o.endedAt.Sub(o.sentAt).Seconds(), o.err)
			case o.err != nil:
				statuses["channel closed or refused"]++
			default:
				statuses[fmt.Sprint(o.status)]++
			}
		}
		r.notef("answers to %s: %v", s.what, statuses)
	}
	for i, d := range r.daemons {
		r.notef("%s ended %d times over its memory", d.name, ends[i])
	}
	r.notef("%d requests were passed on from kept channels and got no answer, %d are tolerated", lost, lostThatCount)
	return lost > lostThatCount, nil
}

// longPrompt returns a prompt of many parts that no other request has, or without the
// disruption of three parts with as many tokens.
func (r *run) longPrompt(n int) map[string]string {
	var parts strings.Builder
	if r.trouble {
		for i := range promptParts {
			if i > 0 {
				parts.WriteByte(',')
			}
			fmt.Fprintf(&parts, "%x:1", n*promptParts+i+1)
		}
	} else {
		fmt.Fprintf(&parts, "%x:800,%x:400,%x:200", n%40+1, n%88+100, n+1000)
	}
	return map[string]string{
		"X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,9", promptParts), "X-Prompt-Prefix": parts.String(),
	}
}

// superviseMemory ends processes that exceed memory_mb and starts them again, until ctx ends
// or each has ended often enough. It returns how often each has ended.
func (r *run) superviseMemory(ctx context.Context, done func()) []int {
	ends := make([]int, len(r.daemons))
	var enough atomic.Int32
	var wait sync.WaitGroup
	for i, d := range r.daemons {
		wait.Go(func() {
			ends[i] = d.supervise(ctx, func(n int) {
				if n == endsThatSuffice && enough.Add(1) == int32(len(r.daemons)) {
					done()
				}
			})
		})
	}
	wait.Wait()
	return ends
}

// supervise ends the process when it exceeds memory_mb, and starts it again. ended is called
// with the number of ends so far.
func (d *daemon) supervise(ctx context.Context, ended func(int)) int {
	ends, most := 0, int64(0)
	noted := time.Now()
	for ctx.Err() == nil {
		used := d.residentBytes()
		most = max(most, used)
		if time.Since(noted) >= noteInterval {
			noted = time.Now()
			d.run.notef("%s uses %.1f MB", d.name, megabytes(used))
		}
		switch {
		case used > memoryMB<<20:
			d.run.notef("%s uses %.1f MB of %d MB and is ended by the platform", d.name, megabytes(used), memoryMB)
		case d.hasEnded():
			d.run.notef("%s has ended by itself", d.name)
		default:
			time.Sleep(memoryInterval)
			continue
		}
		d.kill()
		ends++
		ended(ends)
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			d.run.notef("%s does not start: %v", d.name, err)
			break
		}
	}
	d.run.notef("%s used %.1f MB at most", d.name, megabytes(most))
	return ends
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }
