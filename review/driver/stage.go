package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// apiKey is the key of the only tenant.
const apiKey = "n2ctnfzs989anu6wsjnb"

// host is the Host header of all requests.
const host = "ficu95.example"

// stage holds the stand-ins and the processes of one case.
type stage struct {
	// trouble is false in the run without the disruption.
	trouble bool
	started time.Time
	folder  string
	store   *standin.Store
	address string // of the store

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	closers []func()
}

func newStage(record string, trouble bool) (*stage, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	s := &stage{trouble: trouble, started: time.Now(), folder: folder, record: f, store: standin.NewStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(err, s.close())
	}
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // ends with Close
	s.onClose(func() { _ = server.Close() })
	s.address = l.Addr().String()
	s.logf("start: trouble=%v", trouble)
	return s, nil
}

// logf writes a line into the record, with the seconds since the start.
func (s *stage) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *stage) onClose(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, f)
}

// close ends all processes and stand-ins of the case.
func (s *stage) close() error {
	for _, d := range s.daemons {
		d.kill()
	}
	s.mu.Lock()
	closers := s.closers
	s.mu.Unlock()
	for _, f := range closers {
		f()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return errors.Join(s.record.Close(), os.RemoveAll(s.folder))
}

// daemon is one process of the project.
type daemon struct {
	name  string
	front string
	ready string
	cmd   *exec.Cmd
	ended chan struct{}
	log   string // file with its output
}

// settingsText is a settings file of the deployment fryline-swap. Only addresses, the
// machine's name and its zone differ.
var settingsText = template.Must(template.New("settings").Parse(`node = "{{.Name}}"
role = "edge"
class = "edge"
serves = ["edge","ctl"]
ip = "{{.IP}}"
zone = "{{.Zone}}"
region = "{{.Region}}"
port_range = [{{.Internal}},{{.Internal}}]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "anycast"
beat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
dublin-a = "leinster"
cork-a = "munster"
galway-a = "connacht"
[listen]
front = "{{.Front}}"
ready_addr = "{{.Ready}}"
control = "{{.Control}}"
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
addr = "{{.Store}}"
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
`))

// regions maps the zones of the deployment to their regions.
var regions = map[string]string{"dublin-a": "leinster", "cork-a": "munster", "galway-a": "connacht"}

// Ports of each daemon, as in the example of the pages. Each daemon has a loopback address
// of its own, so that cases which run beside each other do not take each other's ports.
const (
	frontPort    = "8227"
	readyPort    = "8220"
	controlPort  = "8229"
	internalPort = "7340"
)

// freeIP returns a loopback address at which the ports of a daemon are free.
func freeIP() (string, error) {
	var last error
	for range 20 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		if last = portsFree(ip); last == nil {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports: %w", last)
}

func portsFree(ip string) error {
	for _, port := range []string{frontPort, readyPort, controlPort, internalPort} {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts a daemon with the command of the deploy file and waits until it
// says that it is ready.
func (s *stage) startDaemon(name, zone string) (*daemon, error) {
	d, err := s.launch(name, zone)
	if err != nil {
		return nil, err
	}
	return d, d.awaitReady()
}

func (s *stage) launch(name, zone string) (*daemon, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	address := func(port string) string { return net.JoinHostPort(ip, port) }
	var text strings.Builder
	err = settingsText.Execute(&text, map[string]string{
		"Name": name, "Zone": zone, "Region": regions[zone], "IP": ip, "Front": address(frontPort),
		"Ready": address(readyPort), "Control": address(controlPort), "Internal": internalPort, "Store": s.address,
	})
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(s.folder, name+".toml")
	if err := os.WriteFile(settings, []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	d := &daemon{
		name: name, front: address(frontPort), ready: address(readyPort), ended: make(chan struct{}),
		log: filepath.Join(s.folder, name+".log"),
	}
	out, err := os.Create(d.log)
	if err != nil {
		return nil, err
	}
	d.cmd = exec.Command("target/auburndyke", "edge")
	d.cmd.Env = append(os.Environ(), "AUBURNDYKE_NODE_FILE="+settings)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	s.daemons = append(s.daemons, d)
	go func() {
		err := d.cmd.Wait()
		s.logf("daemon %s ended: %v", name, err)
		_ = out.Close() // the process has ended
		close(d.ended)
	}()
	s.logf("daemon %s started: process %d, consumers at %s", name, d.cmd.Process.Pid, d.front)
	return d, nil
}

// awaitReady waits until the daemon answers readiness probes with 200.
func (d *daemon) awaitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		select {
		case <-d.ended:
			text, _ := os.ReadFile(d.log) // without it the error says less
			return fmt.Errorf("daemon %s ended before it was ready: %s", d.name, text)
		default:
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+"/readyz", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close() // it has no body
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("daemon %s was not ready in time", d.name)
}

// signal sends a signal to the daemon's process.
func (s *stage) signal(d *daemon, sig syscall.Signal) error {
	s.logf("daemon %s gets %v", d.name, sig)
	return d.cmd.Process.Signal(sig)
}

// kill ends the daemon's process and waits for its end.
func (d *daemon) kill() {
	_ = d.cmd.Process.Kill() // it may have ended already
	<-d.ended
}
