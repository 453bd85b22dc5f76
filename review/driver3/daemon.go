package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// firstPort and portCount are a range below the ports of outgoing connections.
const (
	firstPort = 20000
	portCount = 10000
	portTries = 200
	// portsPerDaemon is the size of the range for the daemons' own use.
	portsPerDaemon = 16
)

// zone and region are those of all machines.
const (
	zone   = "dublin-a"
	region = "leinster"
)

// daemon is one daemon of the system, which is restarted at the same addresses.
type daemon struct {
	run      *run
	name     string
	link     *link
	front    string
	ready    string
	control  string
	first    int
	settings string

	// mu guards process and ended, those of the current process.
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// addDaemons prepares daemons, which startAll starts.
func (r *run) addDaemons(n int) error {
	for i := range n {
		d, err := r.newDaemon(fmt.Sprintf("edge-%s-%d", zone, i+1))
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	return nil
}

func (r *run) newDaemon(name string) (*daemon, error) {
	l, err := newLink(r.storeAddress)
	if err != nil {
		return nil, err
	}
	d := &daemon{run: r, name: name, link: l, settings: filepath.Join(r.dir, name+".toml")}
	for _, address := range []*string{&d.front, &d.ready, &d.control} {
		port, err := freePorts(1)
		if err != nil {
			return nil, err
		}
		*address = "127.0.0.1:" + strconv.Itoa(port)
	}
	if d.first, err = freePorts(portsPerDaemon); err != nil {
		return nil, err
	}
	return d, nil
}

// taken holds the ports that have been given away.
var taken = map[int]bool{}

// freePorts returns the first of n ports in a row that nobody listens on.
func freePorts(n int) (int, error) {
	for range portTries {
		first := firstPort + rand.IntN(portCount)
		free := true
		for p := first; p < first+n && free; p++ {
			l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(p))
			if free = err == nil && !taken[p]; err == nil {
				_ = l.Close() // the daemon takes it
			}
		}
		if !free {
			continue
		}
		for p := first; p < first+n; p++ {
			taken[p] = true
		}
		return first, nil
	}
	return 0, fmt.Errorf("%w: no free ports", errNotRun)
}

// startAll starts the daemons and waits until all of them are ready.
func (r *run) startAll() error {
	var seeds []string
	for _, d := range r.daemons[:min(len(r.daemons), 3)] {
		seeds = append(seeds, strconv.Quote(d.control))
	}
	for _, d := range r.daemons {
		if err := d.writeSettings(seeds, true); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if !d.waitReady(10 * time.Second) {
			d.noteLog()
			return fmt.Errorf("%w: daemon %s is not ready", errNotRun, d.name)
		}
		// Later processes are restarts.
		if err := d.writeSettings(seeds, false); err != nil {
			return err
		}
	}
	return nil
}

func (d *daemon) writeSettings(seeds []string, bootstrap bool) error {
	text := fmt.Sprintf(`node = %q
role = "edge"
class = "edge"
serves = ["edge","ctl"]
ip = "127.0.0.1"
zone = %q
region = %q
port_range = [%d,%d]
seeds = [%s]
bootstrap = %t
loss_counts = false
discovery = "platform"
entry = "anycast"
beat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
%s = %q
[listen]
front = %q
ready_addr = %q
control = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 134
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
`, d.name, zone, region, d.first, d.first+portsPerDaemon-1, strings.Join(seeds, ","), bootstrap,
		zone, region, d.front, d.ready, d.control, d.link.address())
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start runs the command of the deploy file, in the root of the repository.
func (d *daemon) start() error {
	log, err := os.OpenFile(d.run.log(d.name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command("target/auburndyke", "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "AUBURNDYKE_NODE_FILE=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.run.ending.Load() {
		return errNotRun
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.process, d.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // the case says what an end means
		close(ended)
	}()
	d.run.notef("daemon %s started, process %d, front %s", d.name, cmd.Process.Pid, d.front)
	return nil
}

// kill ends the process, if there is one, and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return
	}
	_ = d.process.Process.Signal(syscall.SIGKILL) // it may have ended
	<-d.ended
}

// stopTime is grace_s of the settings.
const stopTime = 8 * time.Second

// restart stops the process as the platform does, starts it again and waits until it is
// ready.
func (d *daemon) restart() error {
	_ = d.process.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-d.ended:
	case <-time.After(stopTime):
		d.kill()
	}
	if err := d.start(); err != nil {
		return err
	}
	if !d.waitReady(stopTime) {
		d.noteLog()
		return fmt.Errorf("%w: daemon %s is not ready", errNotRun, d.name)
	}
	return nil
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

func (d *daemon) waitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			return true
		}
	}
	return false
}

// noteLog copies the end of the daemon's log to the record.
func (d *daemon) noteLog() {
	data, err := os.ReadFile(d.run.log(d.name))
	if err != nil {
		d.run.notef("the log of %s: %v", d.name, err)
		return
	}
	const most = 2000
	d.run.notef("the end of the log of %s: %s", d.name, data[max(len(data)-most, 0):])
}
