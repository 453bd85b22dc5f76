package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/edge"
	"github.com/auburndyke/auburndyke/platform/standin"
)

// versionFleet is a number of daemons in front of replicas of two software versions of one
// service.
type versionFleet struct {
	t        *testing.T
	store    *standin.Store
	daemons  []*fixture
	replicas []*standin.Replica
	// versions holds the software version of each replica by its id.
	versions map[string]string
}

func startVersionFleet(t *testing.T, daemons int) *versionFleet {
	t.Helper()
	f := &versionFleet{t: t, store: standin.NewStore(), versions: make(map[string]string)}
	f.store.Put("op", "config", []byte(`{"version":1,"limits":{},"services":[{"name":"model"}],"routes":[
		{"name":"s","host":"h.example","prefix":"/s/","type":"stream","resumable":true,"service":"model","attempts":1,"timeout_ms":12000,"goal_ms":1000,"gap_aim_ms":400}]}`))
	for _, version := range []string{"old", "new"} {
		for i := range 3 {
			f.addReplica(fmt.Sprintf("%s-%d", version, i), version)
		}
	}
	f.startDaemons(daemons)
	return f
}

func (f *versionFleet) addReplica(id, version string) {
	f.t.Helper()
	r, err := standin.StartReplica(id)
	assert.NilError(f.t, err)
	f.t.Cleanup(r.Close)
	r.SoftwareVersion = version
	// Long enough that streams are in progress when daemons end.
	r.Set(standin.Behaviour{Events: 30, Work: 100 * time.Millisecond})
	f.versions[id] = version
	f.replicas = append(f.replicas, r)
	f.store.Put("servers", id, r.Registration("model", "a", "ready"))
}

func (f *versionFleet) startDaemons(n int) {
	f.t.Helper()
	f.daemons = nil
	for i := range n {
		f.daemons = append(f.daemons, startWithStore(f.t, f.store, func(s *edge.Settings) { s.Daemon = daemonName(i) }))
	}
	for _, d := range f.daemons {
		d.awaitStatus(d.readyURL(), "", http.StatusOK)
	}
}

// killDaemons ends all daemons without an end of their responses.
func (f *versionFleet) killDaemons() {
	for _, d := range f.daemons {
		d.stop()
	}
}

// received is what a caller has of a stream.
type received struct {
	status    int
	events    int
	softwares map[string]bool
	whole     bool
}

// read makes an attempt and reads it until it ends or ctx does. last is the number of the
// last event that the caller has, of the stream that the attempt resumes began.
func (f *versionFleet) read(ctx context.Context, d *fixture, id, resumes string, last int) received {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.callerURL("/s/"), strings.NewReader("x"))
	assert.NilError(f.t, err)
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "12000")
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", fmt.Sprint(last))
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return received{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	got := received{status: resp.StatusCode, events: strings.Count(string(body), "id: "), whole: err == nil, softwares: make(map[string]bool)}
	for _, r := range f.replicas {
		for _, run := range r.Runs() {
			if run.ID == id {
				got.softwares[f.versions[r.ID]] = true
			}
		}
	}
	return got
}

// Guards against streams that callers take up after all daemons have ended at once and that
// go on at another software version than the one that began them; and against refusing
// most of them. The share is that of the users' rule.
func TestTakenUpStreamsKeepTheirVersionAfterAllDaemonsEnded(t *testing.T) {
	const (
		daemons = 3
		streams = 24
	)
	f := startVersionFleet(t, daemons)
	begun := make([]received, streams)
	var wait sync.WaitGroup
	for i := range streams {
		wait.Go(func() { begun[i] = f.read(t.Context(), f.daemons[i%daemons], fmt.Sprint("first-", i), "", 0) })
	}
	time.Sleep(1200 * time.Millisecond)
	f.killDaemons()
	wait.Wait()
	f.startDaemons(daemons)

	goesOn := 0
	var mu sync.Mutex
	for i, b := range begun {
		assert.Assert(t, b.status == http.StatusOK && b.events > 0 && !b.whole, "stream %d: %+v", i, b)
		wait.Go(func() {
			id := fmt.Sprint("again-", i)
			got := f.read(t.Context(), f.daemons[(i+1)%daemons], id, fmt.Sprint("first-", i), b.events)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				goesOn++
				assert.Check(t, got.whole && b.events+got.events == 30, "stream %d: %+v after %+v", i, got, b)
			}
			for version := range got.softwares {
				assert.Check(t, b.softwares[version], "stream %d began at %v and goes on at %q", i, b.softwares, version)
			}
		})
	}
	wait.Wait()
	assert.Assert(t, goesOn >= streams/2, "%d of %d streams go on", goesOn, streams)
}

// begin starts streams of six seconds at a daemon. It returns what their callers have got once all have
// ended.
func (f *versionFleet) begin(d *fixture, streams int) (ended func() []received) {
	for _, r := range f.replicas {
		r.Set(standin.Behaviour{Events: 60, Work: 100 * time.Millisecond})
	}
	begun := make([]received, streams)
	var wait sync.WaitGroup
	for i := range streams {
		wait.Go(func() { begun[i] = f.read(f.t.Context(), d, fmt.Sprint("first-", i), "", 0) })
	}
	return func() []received { wait.Wait(); return begun }
}

// takeUp takes the broken streams of begin up at a daemon, and checks that none goes on at
// another software version. It returns how many were taken up and how many went on.
func (f *versionFleet) takeUp(d *fixture, begun []received) (taken, goesOn int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, b := range begun {
		if b.events == 0 || b.whole {
			continue
		}
		taken++
		wait.Go(func() {
			got := f.read(f.t.Context(), d, fmt.Sprint("again-", i), fmt.Sprint("first-", i), b.events)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusOK {
				goesOn++
			}
			for version := range got.softwares {
				assert.Check(f.t, b.softwares[version], "stream %d began at %v and goes on at %q", i, b.softwares, version)
			}
		})
	}
	wait.Wait()
	return taken, goesOn
}

// Guards against a daemon that was started after a release and joins streams of two
// software versions while the platform does not answer, because it has heard of one only.
func TestDaemonStartedAfterReleaseKeepsVersionsApart(t *testing.T) {
	const streams = 16
	f := startVersionFleet(t, 2)
	time.Sleep(time.Second)
	ended := f.begin(f.daemons[0], streams)
	time.Sleep(600 * time.Millisecond)
	for i := range 3 {
		f.store.Drop("servers", fmt.Sprint("old-", i))
	}
	first := f.daemons[0]
	f.daemons[1].stop()
	f.startDaemons(1)
	restarted := f.daemons[0]
	time.Sleep(time.Second) // for a reading of the rows and of the directory
	f.store.SetFault(standin.Silent)
	first.stop()
	taken, _ := f.takeUp(restarted, ended())
	assert.Assert(t, taken >= streams/2, "%d streams were taken up", taken)
	f.store.SetFault(standin.Healthy)
}

// Guards against streams that can't be taken up after a restoration of the platform because
// their daemon gets no new ones. The share is that of the users' rule.
func TestStreamsAreTakenUpAfterRestoration(t *testing.T) {
	const streams = 16
	f := startVersionFleet(t, 2)
	time.Sleep(time.Second)
	ended := f.begin(f.daemons[0], streams)
	time.Sleep(900 * time.Millisecond)
	f.store.SetFault(standin.Reset)
	f.store.RestoreAge(1500 * time.Millisecond)
	f.store.SetFault(standin.Healthy)
	for _, r := range f.replicas {
		f.store.Put("servers", r.ID, r.Registration("model", "a", "ready"))
	}
	time.Sleep(1700 * time.Millisecond)
	f.daemons[0].stop()
	begun := ended()
	time.Sleep(time.Second)
	taken, goesOn := f.takeUp(f.daemons[1], begun)
	assert.Equal(t, taken, streams)
	assert.Assert(t, goesOn >= streams/2, "%d of %d streams go on", goesOn, streams)
}
