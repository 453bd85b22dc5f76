package processrun

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/standin/engine"
	"github.com/auburndyke/auburndyke/internal/standin/service"
)

// step is one disturbance at a time after the start of the load.
type step struct {
	at   time.Duration
	name string
	run  func(ctx context.Context, r *run) error
}

// ledger is what one run of an upstream's process did.
type ledger struct {
	engine.Ledger
	Executions []service.Execution `json:"executions"`
}

// leave is a drain of an upstream.
type leave struct {
	Upstream   domain.UpstreamID `json:"upstream"`
	Accepted   time.Time         `json:"accepted"`
	Releasable time.Duration     `json:"releasable_ns"` // after Accepted; zero means never
	InProgress int               `json:"in_progress"`   // at the upstream's planned stop
}

// change is one accepted revision.
type change struct {
	Revision domain.Revision `json:"revision"`
	Accepted time.Time       `json:"accepted"`
}

func post(ctx context.Context, url string, header map[string]string, body any, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return roundTrip(request, into)
}

func roundTrip(request *http.Request, into any) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		var text bytes.Buffer
		_, _ = text.ReadFrom(response.Body)
		return fmt.Errorf("%s answered %s: %s", request.URL, response.Status, text.String())
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// readLedger keeps what an upstream's process did so far.
func (f *fleet) readLedger(ctx context.Context, u *upstream) (ledger, error) {
	var l ledger
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+"/ledger", nil)
	if err != nil {
		return l, err
	}
	err = roundTrip(request, &l)
	return l, err
}

// killDaemon ends a daemon without notice and starts it again.
func killDaemon(i int, pause time.Duration) func(context.Context, *run) error {
	return func(_ context.Context, r *run) error {
		m := r.fleet.daemons[i]
		r.note(m, "down")
		m.process.Kill()
		time.Sleep(pause)
		return r.restart(m)
	}
}

// stopDaemon stops a daemon as an upgrade does and starts it again.
func stopDaemon(i int) func(context.Context, *run) error {
	return func(_ context.Context, r *run) error {
		m := r.fleet.daemons[i]
		r.note(m, "down")
		if code := m.process.Stop(stopTime); code != 0 {
			return fmt.Errorf("planned stop of %s ended with code %d", m.id, code)
		}
		return r.restart(m)
	}
}

func (r *run) restart(m *member) error {
	began := time.Now()
	r.fleet.startDaemon(m)
	if err := r.fleet.waitReady(m); err != nil {
		return err
	}
	r.note(m, "up")
	r.addRestart(m.id, time.Since(began))
	return nil
}

// pauseDaemon stops a daemon's clock for longer than its lease.
func pauseDaemon(i int, pause time.Duration) func(context.Context, *run) error {
	return func(_ context.Context, r *run) error {
		m := r.fleet.daemons[i]
		r.note(m, "down")
		m.process.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		m.process.Signal(syscall.SIGCONT)
		if err := r.fleet.waitReady(m); err != nil {
			return err
		}
		r.note(m, "up")
		return nil
	}
}

// killEngine ends an engine without notice and starts it again.
func killEngine(id domain.UpstreamID, pause time.Duration) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		u := r.fleet.upstreams[id]
		kept, err := r.fleet.readLedger(ctx, u)
		u.process.Kill()
		u.ledgers = append(u.ledgers, kept)
		time.Sleep(pause)
		r.fleet.startUpstream(&u.Upstream)
		return err
	}
}

// crashService makes a service lose its process around the next execution. Its
// ledger stays.
func crashService(id domain.UpstreamID, fault string) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		return post(ctx, "http://"+r.fleet.upstreams[id].Address+"/faults", nil, map[string]bool{fault: true}, nil)
	}
}

// drainUpstream drains an upstream through a daemon's administration API and
// stops its process once it is releasable.
func drainUpstream(id domain.UpstreamID, through int) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		m := r.fleet.daemons[through]
		auth := map[string]string{
			"Authorization": "Bearer " + operatorToken, "Idempotency-Key": uuid.NewString(),
			"If-Match": fmt.Sprintf("%q", fmt.Sprint(r.newest())),
		}
		l := leave{Upstream: id}
		err := post(ctx, m.admin+"/admin/v1/upstreams/"+string(id)+"/drain?force=true", auth, nil, nil)
		if err != nil && !strings.Contains(err.Error(), "the drain has started") {
			return err
		}
		l.Accepted = time.Now()
		defer func() { r.addLeave(l) }()
		if err := r.awaitReleasable(ctx, m, id); err != nil {
			return err
		}
		l.Releasable = time.Since(l.Accepted)
		u := r.fleet.upstreams[id]
		kept, err := r.fleet.readLedger(ctx, u)
		for _, a := range kept.Attempts {
			if a.State == engine.StateRunning || a.State == engine.StateQueued {
				l.InProgress++
			}
		}
		if err != nil {
			return err
		}
		return r.returnUpstream(ctx, u)
	}
}

// returnUpstream ends the process of an upstream that is releasable. The wait
// before lets its ledger show work that comes too late.
func (r *run) returnUpstream(ctx context.Context, u *upstream) error {
	time.Sleep(leaveBound + time.Second)
	kept, err := r.fleet.readLedger(ctx, u)
	if err != nil {
		return err
	}
	u.ledgers = append(u.ledgers, kept)
	u.returned = true
	if code := u.process.Stop(stopTime); code != 0 {
		return fmt.Errorf("planned stop of %s ended with code %d", u.ID, code)
	}
	return nil
}

func (r *run) awaitReleasable(ctx context.Context, m *member, id domain.UpstreamID) error {
	var last []administration.Drain
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, m.admin+"/admin/v1/drains", nil)
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+operatorToken)
		if err := roundTrip(request, &last); err != nil {
			continue
		}
		for _, d := range last {
			if d.Upstream == id && d.Phase == administration.PhaseReleasable {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not releasable after %v: %+v", id, readyTime, last)
}

// relabel makes a configuration change through the table service.
func relabel(value string) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		revision, err := r.fleet.relabel(ctx, value)
		if err != nil {
			return err
		}
		r.addChange(change{revision, time.Now()})
		return nil
	}
}

// outage takes the platform down. During it, act runs.
func outage(length time.Duration, act func(context.Context, *run) error) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		down := []string{"table", "objects", "vms", "weights"}
		if err := platformFaults(map[string]any{"down": down})(ctx, r); err != nil {
			return err
		}
		end := time.Now().Add(length)
		err := act(ctx, r)
		time.Sleep(time.Until(end))
		return errors.Join(err, platformFaults(map[string]any{"down": []string{}})(ctx, r))
	}
}

// wholeScript is the long run. Upstreams and daemons are chosen so that each
// region keeps capacity and a majority of daemons.
func wholeScript() []step {
	return []step{
		{3 * time.Second, "kill entry-2", killDaemon(1, 2*time.Second)},
		{5 * time.Second, "change 1", relabel("one")},
		{7 * time.Second, "drain lesson-02", drainUpstream("lesson-02", 0)},
		{8 * time.Second, "pause entry-5 past its lease", pauseDaemon(4, 34*time.Second)},
		{11 * time.Second, "kill lesson-04", killEngine("lesson-04", 4*time.Second)},
		{13 * time.Second, "change 2", relabel("two")},
		{15 * time.Second, "crash booking-1 after a call", crashService("booking-1", "crash_after")},
		{16 * time.Second, "stop entry-3 as planned", stopDaemon(2)},
		{20 * time.Second, "crash booking-2 before a call", crashService("booking-2", "crash_before")},
		{22 * time.Second, "platform outage, kill entry-7", outage(10*time.Second, killDaemon(6, time.Second))},
		{35 * time.Second, "change 3", relabel("three")},
		{37 * time.Second, "kill lesson-01", killEngine("lesson-01", 3*time.Second)},
		{39 * time.Second, "drain lesson-03", drainUpstream("lesson-03", 5)},
		{41 * time.Second, "kill entry-1", killDaemon(0, time.Second)},
		{46 * time.Second, "change 4", relabel("four")},
		{48 * time.Second, "drain booking-3", drainUpstream("booking-3", 3)},
	}
}

// outageScript takes the platform down for longer than the daemons' leases.
func outageScript() []step {
	return []step{
		{2 * time.Second, "lose answers", platformFaults(map[string]any{"lose_answers": 0.3})},
		{4 * time.Second, "change 1", relabel("one")},
		{7 * time.Second, "keep answers", platformFaults(map[string]any{"lose_answers": 0})},
		{8 * time.Second, "platform outage", outage(38*time.Second, func(ctx context.Context, r *run) error {
			time.Sleep(4 * time.Second)
			if err := drainUpstream("lesson-03", 3)(ctx, r); err != nil {
				return err
			}
			return killDaemon(5, time.Second)(ctx, r)
		})},
		{10 * time.Second, "pause lesson-05", pauseEngine("lesson-05", 8*time.Second)},
		{44 * time.Second, "kill entry-8", killDaemon(7, time.Second)},
		{49 * time.Second, "change 2", relabel("two")},
	}
}

// platformFaults changes fault switches of the platform.
func platformFaults(faults map[string]any) func(context.Context, *run) error {
	return func(ctx context.Context, r *run) error {
		return post(ctx, "http://"+r.fleet.address("127.0.0.1:20900")+"/faults", nil, faults, nil)
	}
}

// pauseEngine stops an engine's clock; its connections stay open and silent.
func pauseEngine(id domain.UpstreamID, pause time.Duration) func(context.Context, *run) error {
	return func(_ context.Context, r *run) error {
		p := r.fleet.upstreams[id].process
		p.Signal(syscall.SIGSTOP)
		time.Sleep(pause)
		p.Signal(syscall.SIGCONT)
		return nil
	}
}

// newest returns the highest revision that a daemon showed.
func (r *run) newest() domain.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	highest := domain.Revision(1)
	for _, list := range r.sightings {
		for _, s := range list {
			highest = max(highest, s.revision)
		}
	}
	return highest
}

// smokeScript is the short run.
func smokeScript() []step {
	return []step{
		{time.Second, "change 1", relabel("one")},
		{2 * time.Second, "kill entry-2", killDaemon(1, time.Second)},
		{5 * time.Second, "drain lesson-02", drainUpstream("lesson-02", 0)},
	}
}
