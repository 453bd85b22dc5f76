package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The machines and model replicas of fryline-swap.
	fryMemoryMB = 134
	fryReplicas = 9
	fryTokens   = 430_979
	// memoryRate is the requests a second of fryline-swap.
	memoryRate = 37
	// memoryRun is how long the consumers send.
	memoryRun = 95 * time.Second
	// endsToBreak is how often processes must end on each of two machines.
	endsToBreak = 3
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 300 * time.Millisecond
	// partListBytes is the size of the long list of parts. The whole header stays below
	// max_header_bytes.
	partListBytes = 15_600
)

// playMemory sends prompts of many short parts. The platform kills a daemon that exceeds
// memory_mb and starts it again.
func playMemory(w *world, trouble bool) (*verdict, error) {
	w.memoryMB, w.kvTokens = fryMemoryMB, fryTokens
	w.configure(7, seasonReview(), lessonPlan())
	handle := func(e *exchange) bool {
		if _, err := e.readBody(); err != nil {
			return false
		}
		ok := e.head()
		for n := 1; ok && n <= 8; n++ {
			time.Sleep(20 * time.Millisecond)
			ok = e.event(n)
		}
		return ok && e.endStream()
	}
	for i := range fryReplicas {
		r := &replica{id: fmt.Sprintf("i-7f3a91%02d", i), service: "huvo11a", zone: "maracas", version: "v1", slots: 64, handle: handle}
		if err := w.startReplica(r); err != nil {
			return nil, err
		}
		r.register("ready")
	}
	daemons, err := w.startDaemons(2)
	if err != nil {
		return nil, err
	}
	list := promptOf(trouble, 0)["X-Prompt-Prefix"]
	w.record("prompts like %.40s...: %d parts, %d bytes", list, strings.Count(list, ":"), len(list))
	stop := make(chan struct{})
	var platform sync.WaitGroup
	for _, d := range daemons {
		platform.Go(func() { w.enforceMemory(d, stop) })
	}
	var consumers sync.WaitGroup
	var served, failed atomic.Int64
	start := time.Now()
	ended := func() bool { return daemons[0].ends.Load() >= endsToBreak && daemons[1].ends.Load() >= endsToBreak }
	for n := 0; time.Since(start) < memoryRun && !ended(); n++ {
		d := daemons[n%2]
		if d.down.Load() {
			d = daemons[(n+1)%2]
		}
		consumers.Go(func() {
			a := send(d.front, fmt.Sprintf("9c41d07be2%06d", n), request{
				method: "POST", path: "/lohu930/2f", header: promptOf(trouble, n), body: []byte("prompt"), limit: 15 * time.Second,
			})
			if a.status == 200 && a.err == nil {
				served.Add(1)
				return
			}
			failed.Add(1)
			w.record("consumer: %s, at %s", a, d.name)
		})
		at(start, time.Duration(n+1)*time.Second/memoryRate)
	}
	consumers.Wait()
	close(stop)
	platform.Wait()
	v := &verdict{}
	for _, d := range daemons {
		w.record("%s: peak memory %d MB of %d, ended %d times", d.name, d.peak.Load()>>20, w.memoryMB, d.ends.Load())
	}
	w.record("%d requests served, %d failed in %.0f s", served.Load(), failed.Load(), time.Since(start).Seconds())
	if ended() {
		v.breaks("Fault: on both machines in use processes exceeded memory_mb %d times", endsToBreak)
	}
	return v, nil
}

// promptOf returns the headers of a prompt of as many tokens: with trouble one of parts of
// one token each, otherwise one of two parts.
func promptOf(trouble bool, n int) map[string]string {
	const part = "0000:1,"
	const count = partListBytes / len(part)
	const ownTokens = 250
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	header := map[string]string{"X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,80", count)}
	if !trouble {
		header["X-Prompt-Prefix"] = fmt.Sprintf("%04x:%d,%04x:%d", rng.Uint32()>>16, count-ownTokens, rng.Uint32()>>16, ownTokens)
		return header
	}
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("%04x:1", rng.Uint32()>>16)
	}
	header["X-Prompt-Prefix"] = strings.Join(list, ",")
	return header
}

// enforceMemory kills the process when it exceeds memory_mb, as the platform does, and
// starts it again.
func (w *world) enforceMemory(d *daemon, stop chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	noted := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		used := residentBytes(d.pid())
		d.peak.Store(max(d.peak.Load(), used))
		if time.Since(noted) >= 5*time.Second {
			noted = time.Now()
			w.record("%s: %d MB in use", d.name, used>>20)
		}
		if used <= int64(w.memoryMB)<<20 {
			continue
		}
		w.record("platform: %s uses %d MB of %d and is killed", d.name, used>>20, w.memoryMB)
		d.down.Store(true)
		d.kill()
		d.ends.Add(1)
		time.Sleep(restartDelay)
		if err := d.start(); err != nil {
			w.record("platform: %s does not start: %v", d.name, err)
			return
		}
		if err := d.awaitReady(); err == nil {
			d.down.Store(false)
		}
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64) // digits
			return kb << 10
		}
	}
	return 0
}
