package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/standin/process"
	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	// A fleet has an upstream for each daemonsPerUpstream daemons, at least
	// minUpstreams.
	minUpstreams       = 5
	daemonsPerUpstream = 10

	apiKey    = "soak-key"
	host      = "soak.example"
	readyTime = 15 * time.Second
	// probeTime bounds one readiness probe, as the platform's balancer does.
	probeTime = time.Second
	// stopBound is the settings' time between SIGTERM and the end.
	stopBound = 8 * time.Second
	firstPort = 20000
	// portBlocks and blockPorts keep runs that go on at the same time apart.
	portBlocks = 8
	blockPorts = 1500
)

// freePorts is apart from those of runs that go on at the same time.
var freePorts = process.NewPorts(firstPort+os.Getpid()%portBlocks*blockPorts, blockPorts)

// upstream is an address behind a proxy at which one replica after the other
// runs.
type upstream struct {
	proxy   *proxy
	service string

	mu sync.Mutex
	// replicas are all that ran at the address; the last one runs.
	replicas []*standin.Replica
}

// replica returns the one that runs.
func (u *upstream) replica() *standin.Replica {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.replicas[len(u.replicas)-1]
}

// crash ends the replica and starts another one, with another id, at its address.
// It returns the id of the one that ended.
func (u *upstream) crash(f *fleet) string { return u.replace(f, u.replica().SoftwareVersion) }

// replace is crash with another software version of the replica that follows.
func (u *upstream) replace(f *fleet, version string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.replicas[len(u.replicas)-1]
	next, err := old.Restart(fmt.Sprintf("%s.%d", u.replicas[0].ID, len(u.replicas)))
	assert.NilError(f.t, err)
	next.SoftwareVersion = version
	next.Set(u.usual())
	u.replicas = append(u.replicas, next)
	return old.ID
}

// daemon is one process behind a proxy to the store.
type daemon struct {
	name     string
	store    *proxy
	callers  string
	ready    string
	control  string
	settings string
	log      string

	// restarting keeps two restarts of the daemon apart.
	restarting sync.Mutex

	mu      sync.Mutex
	process *process.Process
	// calm is since when nothing happened to the daemon.
	calm time.Time
	// stops are the SIGTERMs to a ready process that then ended by itself.
	stops []plannedStop
	kills []time.Time
}

type plannedStop struct{ asked, ended time.Time }

// rotationTime is how long callers may still come after a SIGTERM: two failed
// probes, one second apart, take a daemon out of rotation.
const rotationTime = 2 * time.Second

// stopping returns whether a request met a planned stop while it had to be
// answered.
func (d *daemon) stopping(e *exchange) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.stops {
		if !d.killedIn(s.asked, e.ended) && e.ended.After(s.asked) && e.sent.Before(s.asked.Add(rotationTime)) {
			return true
		}
	}
	return false
}

// killedIn reports whether the daemon was killed between two times. The caller
// holds mu.
func (d *daemon) killedIn(from, to time.Time) bool {
	return slices.ContainsFunc(d.kills, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// checkStops looks for planned stops that end while callers still come, which
// cuts whatever they have in progress.
func (d *daemon) checkStops() []problem {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []problem
	for _, s := range d.stops {
		if took := s.ended.Sub(s.asked); took < rotationTime && !d.killedIn(s.asked, s.ended) {
			out = append(out, problem{fmt.Sprintf("ended %s after SIGTERM", took), d.name})
		}
	}
	return out
}

type fleet struct {
	t         *testing.T
	binary    string
	dir       string
	store     *standin.Store
	daemons   []*daemon
	upstreams []*upstream

	// seeds are control addresses of the first daemons.
	seeds []string

	mu      sync.Mutex
	version int
	// config is the newest version as it was written.
	config []byte
}

// maxSeeds is the number of seeds that the platform names.
const maxSeeds = 3

// settingsText is what the platform's settings file says for a daemon.
const settingsText = `
node = %q
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [%d,%d]
seeds = ["%s"]
[zones]
a = "r"
[listen]
front = %q
ready_addr = %q
control = %q
[limits]
memory_mb = 112
fds = 4100
[bounds]
drain_ms = 2500
grace_s = 8
budget_ratio = 0.2
# %s
[platform]
addr = %q
`

func build(t *testing.T) string {
	t.Helper()
	binary, err := process.Build(t.Context(), t.TempDir())
	assert.NilError(t, err)
	return binary
}

func startFleet(t *testing.T, binary string, daemons int) *fleet {
	t.Helper()
	f := &fleet{t: t, binary: binary, dir: t.TempDir(), store: standin.NewStore()}
	server := httptest.NewServer(f.store)
	t.Cleanup(func() {
		f.store.SetFault(standin.Healthy)
		server.CloseClientConnections()
		server.Close()
	})
	for i := range max(minUpstreams, daemons/daemonsPerUpstream) {
		service := "model"
		if i%5 >= 3 {
			service = "app"
		}
		f.addUpstream(fmt.Sprintf("replica-%d", i), service)
	}
	f.configure()
	controls := make([]string, daemons)
	for i := range controls {
		controls[i] = fmt.Sprintf("127.0.0.1:%d", freePort(t))
	}
	f.seeds = controls[:min(len(controls), maxSeeds)]
	for i, control := range controls {
		f.addDaemon(i, server.Listener.Addr().String(), control)
	}
	for _, d := range f.daemons {
		f.awaitReady(d)
	}
	return f
}

func (f *fleet) addUpstream(id, service string) {
	r, err := standin.StartReplica(id)
	assert.NilError(f.t, err)
	u := &upstream{replicas: []*standin.Replica{r}, proxy: startProxy(f.t, r.Address()), service: service}
	r.Set(u.usual())
	f.t.Cleanup(func() { u.replica().Close() })
	f.upstreams = append(f.upstreams, u)
	f.register(u, "ready")
}

// usual is an upstream's behaviour without a fault.
func (u *upstream) usual() standin.Behaviour {
	if u.service == "model" {
		return standin.Behaviour{Events: streamEvents, Work: 10 * time.Millisecond, NameVersion: true}
	}
	return standin.Behaviour{Work: 10 * time.Millisecond}
}

// register writes the upstream's row, with the address of its proxy.
func (f *fleet) register(u *upstream, state string) {
	var row map[string]any
	r := u.replica()
	err := json.Unmarshal(r.Registration(u.service, "a", state), &row)
	assert.NilError(f.t, err)
	row["addr"] = u.proxy.address()
	data, err := json.Marshal(row)
	assert.NilError(f.t, err)
	f.store.Put("servers", r.ID, data)
}

// configure writes the next version of the configuration. Each version adds a
// route that names it.
func (f *fleet) configure() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	route := func(prefix, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": prefix, "host": host, "prefix": prefix, "type": kind, "service": service,
			"attempts": attempts, "resumable": resumable, "timeout_ms": routeTimeout.Milliseconds(), "goal_ms": 1000, "gap_aim_ms": 200,
		}
	}
	routes := []map[string]any{
		route("/once/", "non_idempotent", "app", 2, false),
		route("/again/", "idempotent", "app", 2, false),
		route("/events/", "stream", "model", 2, false),
		route("/resume/", "stream", "model", 3, true),
	}
	for v := 1; v <= f.version; v++ {
		routes = append(routes, route(fmt.Sprintf("/version-%d/", v), "idempotent", "app", 2, false))
	}
	data, err := json.Marshal(map[string]any{
		"version": f.version, "routes": routes,
		"services": []map[string]any{{"name": "app"}, {"name": "model", "engine": map[string]any{"slots": 8, "kv_tokens": 100000}}},
		"limits":   map[string]any{"max_body_bytes": 1 << 20},
		"tenants":  []map[string]any{{"name": "soaker", "api_keys": []string{apiKey}}},
	})
	assert.NilError(f.t, err)
	f.config = data
	f.store.Put("op", "config", data)
	return f.version
}

func freePort(t *testing.T) int {
	t.Helper()
	port, err := freePorts.Free()
	assert.NilError(t, err)
	return port
}

func (f *fleet) addDaemon(i int, store, control string) {
	d := &daemon{
		name: fmt.Sprintf("edge-%d", i), store: startProxy(f.t, store),
		callers: fmt.Sprintf("127.0.0.1:%d", freePort(f.t)), ready: fmt.Sprintf("127.0.0.1:%d", freePort(f.t)), control: control,
		settings: filepath.Join(f.dir, fmt.Sprintf("edge-%d.toml", i)), log: filepath.Join(f.dir, fmt.Sprintf("edge-%d.log", i)),
	}
	inner := freePort(f.t)
	text := fmt.Sprintf(settingsText, d.name, inner, inner+1, strings.Join(f.seeds, `", "`), d.callers, d.ready, d.control, "first", d.store.address())
	assert.NilError(f.t, os.WriteFile(d.settings, []byte(text), 0o600))
	f.daemons = append(f.daemons, d)
	d.start(f)
	f.t.Cleanup(func() { d.signal(syscall.SIGCONT); d.kill() })
}

func (d *daemon) start(f *fleet) {
	p, err := process.Start(f.binary, d.log, "edge", "--settings", d.settings)
	assert.NilError(f.t, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.process, d.calm = p, time.Now()
}

// current returns the present process.
func (d *daemon) current() *process.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process
}

func (d *daemon) signal(s syscall.Signal) { d.current().Signal(s) }

func (d *daemon) kill() {
	d.mu.Lock()
	d.kills = append(d.kills, time.Now())
	d.mu.Unlock()
	d.current().Kill()
}

// disturbed notes that something happens to the daemon until the given time.
func (d *daemon) disturbed(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.After(d.calm) {
		d.calm = until
	}
}

// touch is how long a daemon must be undisturbed before bounds hold for it.
const touch = 4 * time.Second

// inTouch reports whether bounds held for the daemon at a time.
func (d *daemon) inTouch(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return at.Sub(d.calm) >= touch
}

// run identifies the present start of the daemon.
func (d *daemon) run() time.Time { return d.current().Started }

// alive reports whether the daemon's process runs. Another process at its
// address is not taken for it.
func (d *daemon) alive() bool {
	select {
	case <-d.current().Exited():
		return false
	default:
		return true
	}
}

// ready200 reports whether the daemon says that it is ready.
func (d *daemon) ready200() bool {
	client := http.Client{Timeout: probeTime}
	resp, err := client.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(d *daemon) {
	f.t.Helper()
	for end := time.Now().Add(readyTime); time.Now().Before(end) && d.alive(); time.Sleep(50 * time.Millisecond) {
		if d.ready200() {
			return
		}
	}
	log, err := os.ReadFile(d.log)
	f.t.Fatalf("%s is not ready: %v\n%s", d.name, err, log[max(0, len(log)-4000):])
}
