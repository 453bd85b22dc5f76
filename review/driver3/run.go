package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// run is one run of a case: the record, the store and the daemons.
type run struct {
	// trouble is whether the disruption takes place.
	trouble bool
	started time.Time
	dir     string
	store   *standin.Store
	// storeAddress is where the store listens. Daemons reach it through their links.
	storeAddress string
	daemons      []*daemon

	// ending is set once the daemons are ended: none starts from then on.
	ending atomic.Bool

	mu     sync.Mutex
	record *os.File
}

func newRun(record string, trouble bool) (*run, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, started: time.Now(), dir: dir, store: standin.NewStore(), storeAddress: l.Addr().String(), record: file}
	go func() { _ = http.Serve(l, r.store) }() // ends with the process
	r.notef("disruption: %v", trouble)
	return r, nil
}

// close ends the daemons and keeps their logs out of the repository.
func (r *run) close() {
	r.ending.Store(true)
	for _, d := range r.daemons {
		d.kill()
	}
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// notef writes a line to the record, with the seconds since the start of the case.
func (r *run) notef(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(line)
	fmt.Print(line)
}

// log returns the path of a log file of a daemon.
func (r *run) log(name string) string { return filepath.Join(r.dir, name+".log") }
