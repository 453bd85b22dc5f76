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
	// memoryRate is a third of the streams a second of fryline-swap, 24.5.
	memoryRate = 8
	// memoryRun is how long the consumers send.
	memoryRun = 85 * time.Second
	// firstEvent is when a replica begins its answer. It is within the aims of the sheet.
	firstEvent = time.Second
	// keptChannels is the number of consumers. Each keeps its channel.
	keptChannels = 24
	// allowedUnanswered is how many requests a machine may leave without an answer.
	allowedUnanswered = 3
	// partListBytes is the size of the long list of parts. The whole header stays below
	// max_header_bytes.
	partListBytes = 15_600
)

// unanswered is a request from a kept channel that was closed without any of an answer.
type unanswered struct {
	id string
	at time.Time
}

// playMemory sends prompts of many short parts from kept channels. The platform kills a
// daemon that exceeds memory_mb.
func playMemory(w *world, trouble bool) (*verdict, error) {
	w.memoryMB, w.kvTokens = fryMemoryMB, fryTokens
	w.configure(7, seasonReview(), lessonPlan())
	var mu sync.Mutex
	passedOn := make(map[string]bool)
	handle := func(e *exchange) bool {
		if _, err := e.readBody(); err != nil {
			return false
		}
		mu.Lock()
		passedOn[e.id] = true
		mu.Unlock()
		time.Sleep(firstEvent)
		ok := e.head()
		for n := 1; ok && n <= 8; n++ {
			ok = e.event(n)
			time.Sleep(20 * time.Millisecond)
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
	daemons, err := w.startDaemons(1)
	if err != nil {
		return nil, err
	}
	d := daemons[0]
	time.Sleep(inTouchTime)
	list := promptOf(trouble, 0)["X-Prompt-Prefix"]
	w.record("prompts like %.40s...: %d parts, %d bytes", list, strings.Count(list, ":"), len(list))
	var killed atomic.Bool
	stop := make(chan struct{})
	var platform sync.WaitGroup
	platform.Go(func() { w.enforceMemory(d, &killed, stop) })
	turns := make(chan int)
	start := time.Now()
	go func() {
		defer close(turns)
		for n := 0; time.Since(start) < memoryRun && !killed.Load(); n++ {
			turns <- n
			at(start, time.Duration(n+1)*time.Second/memoryRate)
		}
	}()
	var lost []unanswered
	var served atomic.Int64
	var consumers sync.WaitGroup
	for range keptChannels {
		consumers.Go(func() {
			var kept *channel
			defer func() { kept.close() }()
			for n := range turns {
				id := fmt.Sprintf("9c41d07be2%06d", n)
				r := request{method: "POST", path: "/lohu930/2f", header: promptOf(trouble, n), body: []byte("prompt"), limit: 15 * time.Second}
				reused := kept != nil
				var a *attempt
				a, kept = sendOn(kept, d.front, id, r)
				if a.status == 200 && a.err == nil {
					served.Add(1)
					continue
				}
				w.record("consumer: %s, kept channel %t", a, reused)
				if reused && a.status == 0 {
					mu.Lock()
					lost = append(lost, unanswered{id, a.ended})
					mu.Unlock()
				}
			}
		})
	}
	consumers.Wait()
	close(stop)
	platform.Wait()
	mu.Lock()
	defer mu.Unlock()
	count := 0
	for _, u := range lost {
		if passedOn[u.id] {
			count++
		}
	}
	w.record("%s: peak memory %d MB of %d, ended %t; %d requests served in %.0f s", d.name, d.peak.Load()>>20, w.memoryMB, killed.Load(), served.Load(), time.Since(start).Seconds())
	w.record("%d requests from kept channels were passed on and got no answer", count)
	v := &verdict{}
	if count > allowedUnanswered {
		v.breaks("LOST: the machine closed %d kept channels whose requests it had passed on, without an answer", count)
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

// enforceMemory kills the process when it exceeds memory_mb, as the platform does.
func (w *world) enforceMemory(d *daemon, killed *atomic.Bool, stop chan struct{}) {
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
		if used > int64(w.memoryMB)<<20 {
			w.record("platform: %s uses %d MB of %d and is killed", d.name, used>>20, w.memoryMB)
			killed.Store(true)
			d.kill()
			return
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
