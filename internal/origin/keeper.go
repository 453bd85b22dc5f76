package origin

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// minInterval is the least time between two writes of a daemon. A stream that began
	// within it is lost with its daemon.
	minInterval = 350 * time.Millisecond
	// refreshInterval is how often an unchanged row is written again: a late write, or
	// a restoration of the platform, may have replaced it by an earlier one.
	refreshInterval = 10 * time.Second
	writeTimeout    = time.Second
	// readTimeout bounds the reading of all rows while a caller waits.
	readTimeout = 700 * time.Millisecond
	// readMaxAge is how old the rows may be that are read for a caller.
	readMaxAge = 250 * time.Millisecond
	// readPause is how long nothing is read after a failure.
	readPause = time.Second
	// writeMargin is how long a write may take after its interval before a stream that
	// is missing counts as unknown.
	writeMargin = 150 * time.Millisecond
	// partDaemons is the number of daemons that write to one part of the table. A part
	// takes about 200 writes a second, one after the other.
	partDaemons = 40
	// writeRateShare is the share of the platform's rate of writes that all daemons
	// together may use.
	writeRateShare = 0.25
	// staleRow is the age from which a row is removed. Its daemon is gone.
	staleRow = 10 * Memory
)

// errReadPause means that the rows could not be read a moment ago.
var errReadPause = errors.New("the origins of streams could not be read a moment ago")

// Row is the row of a daemon. Its key is the daemon.
type Row struct {
	// Part is the part of the table that holds the row.
	Part string
	ports.Row
}

// Table holds a row for each daemon, in parts that the platform writes independently.
type Table interface {
	// ReadAll returns the rows of all parts.
	ReadAll(ctx context.Context) ([]Row, error)
	// Put writes the row of a daemon.
	Put(ctx context.Context, part, daemon string, value []byte) error
	// Remove deletes a row unless it has changed since it was read.
	Remove(ctx context.Context, row Row) error
}

// Options configures a Keeper. Daemon, Table and Log are required.
type Options struct {
	// Daemon is the key of the daemon's row.
	Daemon string
	Table  Table
	// Daemons returns the number of daemons that write to the table. Nil means one.
	Daemons func() int
	// WriteRate is the number of writes a second that the platform allows all daemons
	// together. Zero means unknown.
	WriteRate float64
	Log       *telemetry.Log
}

// interval returns the least time between two writes.
func (o *Options) interval() time.Duration {
	if o.WriteRate <= 0 {
		return minInterval
	}
	seconds := float64(o.daemons()) / (writeRateShare * o.WriteRate)
	return max(minInterval, time.Duration(seconds*float64(time.Second)))
}

func (o *Options) daemons() int {
	if o.Daemons == nil {
		return 1
	}
	return max(o.Daemons(), 1)
}

// part returns the part of the table that holds the daemon's row.
func (o *Options) part() string {
	parts := (o.daemons() + partDaemons - 1) / partDaemons
	return strconv.FormatUint(xxhash.Sum64String(o.Daemon)%uint64(parts), 10)
}

// Keeper shares a Book with other daemons, and with later processes of its own.
type Keeper struct {
	*Book
	o    Options
	wake chan struct{}

	// written is set while the daemon has a row, as far as it knows, and adopted once
	// the row of an earlier process was read. Both are used by Run only.
	written, adopted bool
	writtenAt        time.Time
	covered          uint64

	mu       sync.Mutex // held while rows are read
	rows     *shared
	failedAt time.Time
}

// shared is what the rows of all daemons say.
type shared struct {
	readAt  time.Time
	streams map[key]Origin
	// mixed holds the services that had several versions within Memory.
	mixed map[string]bool
}

// NewKeeper returns a Keeper, which Run starts.
func NewKeeper(o Options) *Keeper {
	return &Keeper{Book: NewBook(), o: o, wake: make(chan struct{}, 1)}
}

// Observe replaces the versions of the listed upstreams, by service.
func (k *Keeper) Observe(now time.Time, versions map[string][]string) {
	if !k.Book.Observe(now, versions) {
		return
	}
	k.o.Log.Event(telemetry.SoftwareVersionsMixed).Interface("versions", versions).Send()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run writes the daemon's row until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		timer := time.NewTimer(k.o.interval())
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.wake:
		}
		timer.Stop()
		if ctx.Err() != nil {
			break
		}
		// A panic is logged, and other errors are: the next write repeats what was lost.
		_ = contain.Do(k.o.Log, "the origins of streams", func() error { return k.sync(ctx) })
	}
	return nil
}

// sync writes the daemon's row if that is due, or removes it.
func (k *Keeper) sync(ctx context.Context) error {
	now := time.Now()
	if !k.Mixed(now) {
		if !k.written {
			return nil
		}
		return k.removeOwn(ctx)
	}
	if !k.adopted && !k.adoptOwn(ctx, now) {
		return nil
	}
	data, changes, err := k.encode(now)
	if err != nil {
		return err
	}
	if k.written && changes == k.covered && now.Sub(k.writtenAt) < refreshInterval {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	k.written = true // a write without a response may have been done
	if err := k.o.Table.Put(ctx, k.o.part(), k.o.Daemon, data); err != nil {
		k.o.Log.Event(telemetry.OriginsNotShared).Err(err).Send()
		return nil
	}
	k.covered, k.writtenAt = changes, now
	return nil
}

// adoptOwn takes over the row of an earlier process of the daemon before it is replaced. It
// reports false if the row could not be read.
func (k *Keeper) adoptOwn(ctx context.Context, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	rows, err := k.o.Table.ReadAll(ctx)
	if err != nil {
		k.o.Log.Event(telemetry.OriginsNotShared).Err(err).Send()
		return false
	}
	k.adopted = true
	for _, row := range rows {
		if row.Key != k.o.Daemon {
			continue
		}
		if r, err := decodeRecord(row.Value); err == nil {
			k.adopt(now, r)
		}
	}
	return true
}

// removeOwn removes the daemon's row, and those of daemons that are gone.
func (k *Keeper) removeOwn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	rows, err := k.o.Table.ReadAll(ctx)
	if err != nil {
		return nil // repeated at the next interval
	}
	k.written, k.covered = false, 0
	for _, row := range rows {
		r, err := decodeRecord(row.Value)
		gone := err != nil || time.Since(time.Unix(r.Written, 0)) > staleRow
		if row.Key != k.o.Daemon && !gone {
			continue
		}
		if err := k.o.Table.Remove(ctx, row); err != nil {
			return nil // readers ignore rows that are old
		}
	}
	return nil
}

// Resolve returns the software version at which a stream began that the caller's attempt
// resumes. It returns false if that is not known, and then has waited for the time in
// which another daemon writes down a stream.
func (k *Keeper) Resolve(ctx context.Context, id domain.RequestID, service string) (softwareVersion string, known bool) {
	fresh := time.Now().Add(-readMaxAge)
	for attempt := range 2 {
		if version, known := k.Lookup(time.Now(), id, service); known {
			return version, true
		}
		rows, err := k.read(ctx, fresh)
		if err != nil {
			// Without the other daemons' word, the versions that this one has seen decide.
			return k.Only(time.Now(), service)
		}
		if o, known := rows.streams[keyOf(id)]; known && o.Service == service {
			return o.SoftwareVersion, true
		}
		if version, only := k.Only(time.Now(), service); only && !rows.mixed[service] {
			return version, true
		}
		if attempt == 0 && !backoff.Sleep(ctx, k.o.interval()+writeMargin) {
			break
		}
		fresh = time.Now()
	}
	return "", false
}

// read returns the rows of all daemons, read after a time.
func (k *Keeper) read(ctx context.Context, after time.Time) (*shared, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.rows != nil && !k.rows.readAt.Before(after) {
		return k.rows, nil
	}
	if !k.failedAt.IsZero() && now.Sub(k.failedAt) < readPause {
		return nil, errReadPause
	}
	// The reading serves other callers as well, so that it outlasts this one's.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
	defer cancel()
	rows, err := k.o.Table.ReadAll(ctx)
	if err != nil {
		k.failedAt = time.Now()
		k.o.Log.Event(telemetry.OriginsNotShared).Err(err).Send()
		return nil, eris.Wrap(err, "reading the origins of streams")
	}
	out := &shared{readAt: now, streams: make(map[key]Origin), mixed: make(map[string]bool)}
	for _, row := range rows {
		r, err := decodeRecord(row.Value)
		if err != nil || time.Since(time.Unix(r.Written, 0)) > Memory {
			continue
		}
		for _, service := range r.Mixed {
			out.mixed[service] = true
		}
		r.each(func(k key, o Origin, _ time.Duration) { out.streams[k] = o })
	}
	k.rows, k.failedAt = out, time.Time{}
	return out, nil
}
