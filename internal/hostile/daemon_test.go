package hostile

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/standin/process"
	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	// memoryMB is the VM's memory of the test's settings, the bound for the daemon's
	// peak memory.
	memoryMB = 64
	// descriptors is the limit of the test's settings, the bound for the daemon's open
	// descriptors.
	descriptors = 1600

	host = "hostile.example"
	// awaitTime bounds the wait for a state that is expected. It is no bound on the
	// daemon's speed.
	awaitTime = 30 * time.Second
	// work is how long the replica works on a request, so that requests of hostile
	// callers wait together.
	work = time.Second
	// firstPort is below the range of outgoing connections and apart from the ports of
	// the other packages that start processes.
	firstPort, portCount = 15_000, 4_000
)

var freePorts = process.NewPorts(firstPort, portCount)

const settingsText = `
node = "edge-1"
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
memory_mb = %d
fds = %d
[bounds]
drain_ms = 2500
grace_s = 8
budget_ratio = 0.2
[platform]
addr = %q
`

const configText = `{"version":1,"services":[{"name":"app"}],
"limits":{"max_header_bytes":65536,"max_body_bytes":1048576,"header_timeout_ms":4000,"idle_timeout_ms":4000},
"routes":[{"name":"r","host":"` + host + `","prefix":"/","type":"idempotent","service":"app","attempts":1,"timeout_ms":20000,"public":true}]}`

// daemon is one process with its store and one replica.
type daemon struct {
	t       *testing.T
	process *process.Process
	log     string
	// The addresses of its listeners.
	callers, ready, internal, control string
	// maxDescriptors is the largest number of open descriptors that was seen.
	maxDescriptors atomic.Int64
}

func freeAddress(t *testing.T) string {
	t.Helper()
	port, err := freePorts.Free()
	assert.NilError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func start(t *testing.T, binary string) *daemon {
	t.Helper()
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	replica, err := standin.StartReplica("replica-0")
	assert.NilError(t, err)
	t.Cleanup(replica.Close)
	replica.Set(standin.Behaviour{Work: work})
	store.Put("op", "config", []byte(configText))
	store.Put("servers", replica.ID, replica.Registration("app", "a", "ready"))

	dir := t.TempDir()
	d := &daemon{
		t: t, log: filepath.Join(dir, "log"),
		callers: freeAddress(t), ready: freeAddress(t), internal: freeAddress(t), control: freeAddress(t),
	}
	_, port, _ := strings.Cut(d.internal, ":")
	internal, err := strconv.Atoi(port)
	assert.NilError(t, err)
	settings := filepath.Join(dir, "settings.toml")
	text := fmt.Sprintf(settingsText, internal, internal+1, d.control, d.callers, d.ready, d.control, memoryMB, descriptors, server.Listener.Addr())
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	d.process, err = process.Start(binary, d.log, "edge", "--settings", settings)
	assert.NilError(t, err)
	t.Cleanup(d.process.Kill)
	d.awaitOrdinary("at the start")
	stop := make(chan struct{})
	sampled := make(chan struct{})
	go func() { defer close(sampled); d.sampleDescriptors(stop) }()
	t.Cleanup(func() { close(stop); <-sampled })
	return d
}

// awaitOrdinary fails the test unless an ordinary request is answered.
func (d *daemon) awaitOrdinary(when string) {
	d.t.Helper()
	client := http.Client{Timeout: awaitTime, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for end := time.Now().Add(awaitTime); time.Now().Before(end) && d.alive(); time.Sleep(100 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodGet, "http://"+d.callers+"/ordinary", nil)
		assert.NilError(d.t, err)
		req.Host = host
		req.Header.Set("X-Attempt-Id", "ordinary")
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		resp.Body.Close()
		if last = resp.Status; resp.StatusCode == http.StatusOK {
			return
		}
	}
	d.t.Fatalf("no ordinary request was answered %s: %s\n%s", when, last, d.lastLog())
}

func (d *daemon) lastLog() string {
	log, err := os.ReadFile(d.log)
	assert.NilError(d.t, err)
	return string(log[max(0, len(log)-2000):])
}

func (d *daemon) alive() bool {
	select {
	case <-d.process.Exited():
		return false
	default:
		return true
	}
}

// peakMemory returns the process's peak resident memory in bytes.
func (d *daemon) peakMemory() int64 {
	d.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.ID()))
	assert.NilError(d.t, err)
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			assert.NilError(d.t, err)
			return kb << 10
		}
	}
	d.t.Fatal("the process has no VmHWM")
	return 0
}

func (d *daemon) sampleDescriptors(stop <-chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.ID())); err == nil {
				d.maxDescriptors.Store(max(d.maxDescriptors.Load(), int64(len(open))))
			}
		}
	}
}

// check fails the test if the daemon has ended, exceeds the bounds of its settings, or
// no longer answers an ordinary request.
func (d *daemon) check() {
	d.t.Helper()
	assert.Assert(d.t, d.alive(), "the process has ended:\n%s", d.lastLog())
	d.awaitOrdinary("after the attack")
	peak, open := d.peakMemory(), d.maxDescriptors.Load()
	d.t.Logf("peak memory %d MB of %d, descriptors %d of %d", peak>>20, memoryMB, open, descriptors)
	assert.Assert(d.t, peak < memoryMB<<20, "peak memory %d MB", peak>>20)
	assert.Assert(d.t, open < descriptors, "%d descriptors", open)
}
