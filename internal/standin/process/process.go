// Package process runs the binary as processes of their own, for tests that end,
// pause and restart daemons by signals. It signals only processes that it started,
// by their ids.
package process

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	command = "github.com/auburndyke/auburndyke/cmd/auburndyke"
	// portTries is the number of ports that Free tries.
	portTries = 100
)

// Build makes the binary in a folder and returns its path.
func Build(ctx context.Context, dir string, flags ...string) (string, error) {
	binary := filepath.Join(dir, "auburndyke")
	args := append([]string{"build", "-o", binary}, flags...)
	out, err := exec.CommandContext(ctx, "go", append(args, command)...).CombinedOutput()
	if err != nil {
		return "", eris.Wrapf(err, "building the binary: %s", out)
	}
	return binary, nil
}

// Process is one run of the binary.
type Process struct {
	Started time.Time
	cmd     *exec.Cmd
	exited  chan struct{}
}

// Start runs the binary and appends its output to a log file.
func Start(binary, log string, args ...string) (*Process, error) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "opening the log of a process")
	}
	defer func() { _ = file.Close() }() // the process has its own descriptor
	p := &Process{cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = file, file
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "starting a process")
	}
	p.Started = time.Now()
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait() // the exit code is read from the state
	}()
	return p, nil
}

// ID returns the process id.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Signal sends a signal. A process that has ended takes none.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Exited returns a channel that closes when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Wait reports whether the process ended within a time.
func (p *Process) Wait(within time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(within):
		return false
	}
}

// Stop asks for a planned stop and returns the exit code, or -1 if the process had
// to be killed.
func (p *Process) Stop(within time.Duration) int {
	p.Signal(syscall.SIGTERM)
	if !p.Wait(within) {
		p.Kill()
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// Ports gives away free ports of the loopback address, each one once. They should
// lie below the range that the system gives to outgoing connections: one of those
// could take a port while the process that owns it restarts.
type Ports struct {
	first, count int
	taken        map[int]bool
}

// NewPorts returns the ports from first on.
func NewPorts(first, count int) *Ports {
	return &Ports{first: first, count: count, taken: make(map[int]bool)}
}

// Free returns a port that nobody listens on.
func (p *Ports) Free() (int, error) {
	for range portTries {
		port := p.first + rand.IntN(p.count)
		if p.taken[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue // another process has it
		}
		if err := l.Close(); err != nil {
			return 0, eris.Wrap(err, "giving a port back")
		}
		p.taken[port] = true
		return port, nil
	}
	return 0, eris.Errorf("no free port from %d to %d", p.first, p.first+p.count-1)
}
