package processrun

import (
	"context"
	"encoding/json"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// runTime bounds a whole run after the build.
const runTime = 90 * time.Second

// span is a time in which a daemon was up.
type span struct{ from, to time.Time }

// sighting is a revision that a daemon had in force.
type sighting struct {
	at       time.Time
	revision domain.Revision
	pid      int
}

// run collects what happened.
type run struct {
	fleet *fleet

	mu        sync.Mutex
	leaves    []leave
	changes   []change
	restarts  map[string][]time.Duration
	up        map[string][]span
	sightings map[string][]sighting
	failures  []string // steps that failed
}

func (r *run) addLeave(l leave) { r.mu.Lock(); defer r.mu.Unlock(); r.leaves = append(r.leaves, l) }

func (r *run) addChange(c change) { r.mu.Lock(); defer r.mu.Unlock(); r.changes = append(r.changes, c) }

func (r *run) addRestart(id string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts[id] = append(r.restarts[id], d)
}

// note starts or ends a time in which a daemon is expected to follow.
func (r *run) note(m *member, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if what == "up" {
		r.up[m.id] = append(r.up[m.id], span{from: time.Now()})
		return
	}
	r.up[m.id][len(r.up[m.id])-1].to = time.Now()
}

var revisionLine = regexp.MustCompile(`(?m)^auburndyke_revision (\S+)$`)

// watch records each daemon's revision in force.
func (r *run) watch(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		r.fleet.mu.Lock()
		pid := m.process.ID()
		r.fleet.mu.Unlock()
		_, text := fetch(m.admin + "/metrics")
		if found := revisionLine.FindStringSubmatch(text); found != nil {
			revision, _ := strconv.ParseFloat(found[1], 64)
			r.mu.Lock()
			r.sightings[m.id] = append(r.sightings[m.id], sighting{time.Now(), domain.Revision(revision), pid})
			r.mu.Unlock()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// play runs the steps at their times, each on its own, and waits for all.
func (r *run) play(ctx context.Context, steps []step) {
	began := time.Now()
	var work sync.WaitGroup
	for _, s := range steps {
		work.Go(func() {
			time.Sleep(time.Until(began.Add(s.at)))
			err := s.run(ctx, r)
			r.fleet.t.Logf("%5.1fs %s done after %v: %v", s.at.Seconds(), s.name, time.Since(began.Add(s.at)).Round(time.Millisecond), err)
			if err != nil {
				r.mu.Lock()
				r.failures = append(r.failures, s.name+": "+err.Error())
				r.mu.Unlock()
			}
		})
	}
	work.Wait()
}

// Guards against faults that only separate processes show: answers lost or
// mixed up when daemons, engines and the platform fail under load, bookings
// that run twice, and configurations and drains that do not reach everyone.
func TestProcesses(t *testing.T) {
	s, steps := size{daemons: 8, engines: 20, services: 4, workers: 24, load: 55 * time.Second, speed: 2}, wholeScript()
	switch os.Getenv("AUBURNDYKE_PROCESSES") {
	case "":
		t.Skip("AUBURNDYKE_PROCESSES is not set")
	case "outage":
		steps = outageScript()
	case "smoke":
		s, steps = size{daemons: 2, engines: 3, services: 1, workers: 8, load: 10 * time.Second, speed: 4}, smokeScript()
	}
	f := startFleet(t, s)
	ctx, cancel := context.WithTimeout(t.Context(), runTime)
	defer cancel()
	r := &run{fleet: f, restarts: map[string][]time.Duration{}, up: map[string][]span{}, sightings: map[string][]sighting{}}
	l := newLoad(f)
	watching, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for _, m := range f.daemons {
		r.note(m, "up")
		watchers.Go(func() { r.watch(watching, m) })
	}
	watchers.Go(func() { l.balance(watching) })
	var work sync.WaitGroup
	work.Go(func() { r.play(ctx, steps) })
	loading, stopLoading := context.WithTimeout(ctx, s.load)
	defer stopLoading()
	work.Go(func() { l.run(loading) })
	work.Wait()
	time.Sleep(3 * time.Second) // the last change has this long to spread
	stopWatching()
	watchers.Wait()
	report := r.check(ctx, l)
	text, err := json.MarshalIndent(report, "", "  ")
	assert.NilError(t, err)
	t.Logf("%s\n%s", report, text)
	if path := os.Getenv("AUBURNDYKE_REPORT"); path != "" {
		assert.NilError(t, os.WriteFile(path, text, 0o600))
	}
	for _, v := range report.Violations {
		t.Error(v)
	}
	if t.Failed() {
		f.keepLogs()
	}
}
