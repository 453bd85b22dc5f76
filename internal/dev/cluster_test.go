package dev

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/drain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

// spreadBound and noNewWorkBound are the stated targets.
const (
	spreadBound    = 3 * time.Second
	noNewWorkBound = 3 * time.Second
)

// waitFor polls until ok or the timeout, and returns the time taken.
func waitFor(t *testing.T, timeout time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > timeout {
			t.Fatalf("%s: not within %v", what, timeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *Fleet) allAt(r domain.Revision) bool {
	for _, m := range f.Members {
		if m.Revision() < r {
			return false
		}
	}
	return true
}

func (f *Fleet) meshComplete() bool {
	for _, m := range f.Members {
		if len(m.Roster().Entries()) < len(f.Members) {
			return false
		}
	}
	return true
}

// propose changes one label and returns the accepted revision.
func (f *Fleet) relabel(t *testing.T, value string) domain.Revision {
	t.Helper()
	changed, err := f.Document.SetLabel(policy.ItemCustomer, string(f.Document.Customers[0].ID), "season", value)
	assert.NilError(t, err)
	f.Document = changed
	result, err := f.Propose(t.Context(), f.Document, "season "+value)
	assert.NilError(t, err)
	return result.Document.Revision
}

// Guards against daemons that keep an old configuration or go back to one,
// also those that cannot reach the platform.
func TestConfigurationSpreads(t *testing.T) {
	fleet := startFleet(t, Options{Daemons: 8})
	waitFor(t, 10*time.Second, "every daemon sees the others", fleet.meshComplete)
	fleet.Platform.SetFaults(platform.Faults{Unreachable: []string{"daemon-2", "daemon-5"}})
	stop := make(chan struct{})
	var lowered atomic.Int64
	var watch sync.WaitGroup
	for _, m := range fleet.Members {
		watch.Go(func() {
			highest := m.Revision()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
				now := m.Revision()
				if now < highest {
					lowered.Add(1)
				}
				highest = max(highest, now)
			}
		})
	}
	for i := range 5 {
		revision := fleet.relabel(t, fmt.Sprint(i))
		took := waitFor(t, spreadBound, "revision in force everywhere", func() bool { return fleet.allAt(revision) })
		t.Logf("revision %d in force at 8 daemons after %v", revision, took.Round(time.Millisecond))
	}
	close(stop)
	watch.Wait()
	assert.Equal(t, lowered.Load(), int64(0), "a daemon went back to an earlier revision")
}

// Guards against new work at an upstream that leaves, against requests cut by
// its release, and against a release before every daemon is done.
func TestDrainUnderLoad(t *testing.T) {
	logs := &logLines{}
	fleet := startFleet(t, Options{Daemons: 4, Speed: 4, Edit: wideOpen, Engine: engine.Config{QueueLimit: 64}, Log: logs.log})
	waitFor(t, 10*time.Second, "every daemon sees the others", fleet.meshComplete)
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	var incomplete atomic.Int64
	for i := range 60 {
		work.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := generationBody(fmt.Sprintf("caller %d question %d", i, n), 40)
				got, err := stream(context.WithoutCancel(ctx), fleet.Members[i%4].URL, testKey, "guest-question", body)
				if err != nil || !got.complete {
					incomplete.Add(1)
					t.Errorf("caller %d question %d: %v %+v", i, n, err, got)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	for i, id := range fleet.engineIDs() {
		if i%4 != 1 {
			continue
		}
		order, stop := context.WithTimeout(t.Context(), 10*time.Second)
		assert.NilError(t, fleet.Members[i%4].Drain(order, id, time.Time{}, false))
		stop()
		accepted := time.Now()
		waitFor(t, 30*time.Second, "releasable", func() bool { return phaseOf(fleet.Members[0], id) == drain.Releasable })
		checkNoNewWork(t, fleet.Engines[id], accepted, logs)
	}
	cancel()
	work.Wait()
	assert.Equal(t, incomplete.Load(), int64(0))
}

// lostRace reports whether the log shows a hedged request that was answered in
// full by its other attempt. The losing one was cancelled, or refused without
// having run because the cancellation came to the engine before it.
func lostRace(lines string, a engine.Entry) bool {
	lost := a.State == engine.StateCancelled || a.State == engine.StateRefused && a.Started.IsZero()
	return lost &&
		strings.Contains(lines, `"event":"AD2006"`) &&
		strings.Contains(lines, `"result":"complete"`)
}

// logLines keeps the log lines of all daemons.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

func (l *logLines) log(daemon string) *telemetry.Log {
	return telemetry.NewLog(l, zerolog.InfoLevel, daemon)
}

func (l *logLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(line))
	return len(line), nil
}

// of returns the lines about a request.
func (l *logLines) of(request domain.RequestID) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	for _, line := range l.lines {
		if strings.Contains(line, string(request)) {
			b.WriteString(line)
		}
	}
	return b.String()
}

func phaseOf(m *Member, id domain.UpstreamID) drain.Phase {
	for _, s := range m.Drains() {
		if s.Upstream == id {
			return s.Phase
		}
	}
	return drain.Serving
}

// checkNoNewWork looks at the engine's own ledger.
func checkNoNewWork(t *testing.T, e *engine.Engine, accepted time.Time, logs *logLines) {
	t.Helper()
	for _, a := range e.Ledger().Attempts {
		if a.Started.After(accepted.Add(noNewWorkBound)) {
			t.Errorf("attempt %s started %v after the leave was accepted", a.Attempt, a.Started.Sub(accepted))
		}
		// The attempt that loses the race of a hedged request is cancelled by its
		// daemon; the request itself must be complete.
		if lines := logs.of(a.Attempt.Request()); a.State != engine.StateFinished && !lostRace(lines, a) {
			t.Errorf("attempt %s is %s although the upstream is releasable\n%s", a.Attempt, a.State, lines)
		}
	}
}

// Guards against a planned stop of a daemon that cuts its streams.
func TestDaemonStopsGracefully(t *testing.T) {
	fleet := startFleet(t, Options{Daemons: 2, Speed: 2, Edit: wideOpen})
	var work sync.WaitGroup
	for i := range 20 {
		work.Go(func() {
			body := generationBody(fmt.Sprintf("caller %d", i), 60)
			got, err := stream(t.Context(), fleet.Members[0].URL, testKey, "guest-question", body)
			if err != nil || !got.complete {
				t.Errorf("caller %d: %v %+v", i, err, got)
			}
		})
	}
	waitFor(t, 5*time.Second, "requests in progress", func() bool { return fleet.Members[0].Gateway().InProgress() == 20 })
	assert.NilError(t, fleet.Members[0].Stop())
	work.Wait()
}

// Guards against a planned stop that the other daemons take for a crash, so
// that drains wait for the end of its lease.
func TestPlannedStopIsTold(t *testing.T) {
	fleet := startFleet(t, Options{Daemons: 4})
	waitFor(t, 10*time.Second, "every daemon sees the others", fleet.meshComplete)
	stopped := fleet.Members[3]
	assert.NilError(t, stopped.Stop())
	for _, m := range fleet.Members[:3] {
		waitFor(t, 2*time.Second, "the stop is known", func() bool {
			_, known := m.Roster().Find(stopped.ID)
			return !known
		})
	}
}
