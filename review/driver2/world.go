package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/auburndyke/auburndyke/internal/standin/process"
	"github.com/auburndyke/auburndyke/platform/standin"
)

const (
	host     = "ficu95.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	customer = "hule930"
	// firstPort and portCount are below the ports of outgoing connections.
	firstPort, portCount = 24_000, 6_000
	// readyTime bounds the start of a daemon.
	readyTime = 15 * time.Second
	// inTouchTime is how long a daemon runs before a case begins: longer than touch_ms.
	inTouchTime = 6 * time.Second
	// probeTime bounds a connection and a readiness probe.
	probeTime = time.Second
)

// world holds the stand-ins and processes of one case.
type world struct {
	binary string
	dir    string
	// ip is the loopback address of this run. Runs beside each other share no ports.
	ip      string
	started time.Time
	ports   *process.Ports
	store   *standin.Store
	// storeAddress is where the store answers.
	storeAddress string
	// memoryMB and kvTokens are the memory of a machine and of a model replica.
	memoryMB, kvTokens int

	mu      sync.Mutex
	file    *os.File
	closers []func()
}

func newWorld(binary, record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{
		ip:     fmt.Sprintf("127.%d.%d.%d", 16+pid>>16&63, pid>>8&255, pid&255),
		binary: binary, dir: dir, started: time.Now(), file: file,
		ports: process.NewPorts(firstPort, portCount), store: standin.NewStore(),
		memoryMB: defaultMemoryMB, kvTokens: defaultKVTokens,
	}
	l, err := net.Listen("tcp", w.ip+":0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = l.Addr().String()
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: probeTime}
	go func() { _ = server.Serve(l) }()
	w.onClose(func() {
		w.store.SetFault(standin.Healthy)
		_ = server.Close()
	})
	return w, nil
}

// record writes a line to the record of the run, with the time since its start.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.file.WriteString(line)
	fmt.Print(line)
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// close ends all processes and stand-ins, the latest first.
func (w *world) close() {
	w.mu.Lock()
	closers := w.closers
	w.closers = nil
	w.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

func (w *world) address() (string, error) {
	port, err := w.ports.Free()
	return fmt.Sprintf("%s:%d", w.ip, port), err
}

// at waits until a time since t.
func at(t time.Time, d time.Duration) { time.Sleep(time.Until(t.Add(d))) }

// settingsText is a settings file as the maraval-desk deployment has it.
const settingsText = `node = %q
role = "edge"
class = "edge"
serves = ["edge","ctl"]
ip = %q
zone = "maracas"
region = "north-coast"
port_range = [%d,%d]
seeds = ["%s"]
bootstrap = false
loss_counts = false
discovery = "platform"
entry = "anycast"
beat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
maracas = "north-coast"
[listen]
front = %q
ready_addr = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
touch_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 2500
grace_s = 8
lost_ms = 200
config_ms = 2500
back_ms = 250
outer_ms = 6000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
recover_s = 12
pass_ms = 250
again_s = 10
[platform]
addr = %q
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_per_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
`

// The memory of a machine and of a model replica of maraval-desk.
const (
	defaultMemoryMB = 284
	defaultKVTokens = 713_967
)

// daemon is one machine of the system with its process.
type daemon struct {
	w                     *world
	name, settings, log   string
	front, ready, control string
	// peak is the largest memory of the process that was seen.
	peak atomic.Int64

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// startDaemons starts daemons at the same time and waits until they are ready.
func (w *world) startDaemons(count int) ([]*daemon, error) {
	var out []*daemon
	var controls []string
	for range count {
		control, err := w.address()
		if err != nil {
			return nil, err
		}
		controls = append(controls, control)
	}
	for i, control := range controls {
		d := &daemon{w: w, name: fmt.Sprintf("edge-maracas-%d", i+1), control: control}
		d.settings, d.log = filepath.Join(w.dir, d.name+".toml"), filepath.Join(w.dir, d.name+".log")
		var err error
		if d.front, err = w.address(); err != nil {
			return nil, err
		}
		if d.ready, err = w.address(); err != nil {
			return nil, err
		}
		port, err := w.ports.Free()
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf(settingsText, d.name, w.ip, port, port, strings.Join(controls[:min(count, 3)], `","`), d.front, d.ready, d.control, w.memoryMB, w.storeAddress)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := d.start(); err != nil {
			return nil, err
		}
		w.onClose(d.kill)
		out = append(out, d)
	}
	for _, d := range out {
		if err := d.awaitReady(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(d.w.binary, "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.w.dir, "AUBURNDYKE_NODE_FILE=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the state is read from cmd
		close(exited)
	}()
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	d.w.record("%s: process %d starts", d.name, cmd.Process.Pid)
	return nil
}

func (d *daemon) current() (*exec.Cmd, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd, d.exited
}

func (d *daemon) pid() int { cmd, _ := d.current(); return cmd.Process.Pid }

// signal sends a signal to the process, if it has not ended.
func (d *daemon) signal(s syscall.Signal) {
	cmd, exited := d.current()
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Signal(s) // it may be ending
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	_, exited := d.current()
	<-exited
}

// stop sends SIGTERM, and SIGKILL after grace_s, and waits for the end.
func (d *daemon) stop() {
	d.w.record("%s: SIGTERM", d.name)
	d.signal(syscall.SIGTERM)
	_, exited := d.current()
	select {
	case <-exited:
		d.w.record("%s: has ended", d.name)
	case <-time.After(8 * time.Second):
		d.w.record("%s: SIGKILL after grace_s", d.name)
		d.kill()
	}
}

// isReady asks the readiness address.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: probeTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the status is all that counts
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady() error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.isReady() {
			d.w.record("%s: ready", d.name)
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready after %s", errCannotRun, d.name, readyTime)
}

// context returns a context for calls that end at once.
func (w *world) context() context.Context { return context.Background() }
