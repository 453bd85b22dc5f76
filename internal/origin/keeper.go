package origin

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// minInterval is the least time between two writes of a daemon. A stream that began
	// within it is lost with its daemon.
	minInterval = 350 * time.Millisecond
	// refreshInterval is how often an unchanged row is written again: a late write may have
	// replaced it by an earlier one.
	refreshInterval = 10 * time.Second
	writeTimeout    = time.Second
	// readTimeout bounds the reading of all rows while a caller waits.
	readTimeout = 700 * time.Millisecond
	// readPause is how long nothing is read after a failure.
	readPause = time.Second
	// settleTime is how long after an outage or a restoration, beside their interval, all
	// daemons need to notice it and to write their rows. Rows read before are incomplete.
	settleTime = 2 * time.Second
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
	// Address is where the daemon receives datagrams of peers. Empty means that it has
	// none.
	Address string
	Table   Table
	// Confirm brings the list of upstreams up to date as of a time, or returns an error if
	// the platform does not answer. Nil means that the list is always up to date.
	Confirm func(ctx context.Context, asOf time.Time) error
	// Era is the platform's latest era. Nil means that the platform is never restored.
	Era *follow.Era
	// FirstStart means that the whole fleet starts for the first time, so that no stream is
	// older than the process.
	FirstStart bool
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
	*inquiries
	o    Options
	wake chan struct{}

	// written is set while the daemon has a row, as far as it knows. writtenAt and
	// writtenEra say when it was last written, and covered which changes it has. These and
	// nextReading are used by Run only.
	written    bool
	writtenAt  time.Time
	writtenEra uint64
	covered    uint64
	// nextReading is the earliest time at which the rows are read again because the daemon
	// does not know all versions that were in service.
	nextReading time.Time

	// reading is a semaphore. Whoever holds it uses rows, failing and failedAt.
	reading chan struct{}
	rows    *shared
	// failing is set if the last reading failed, and failedAt is when one last did.
	failing  bool
	failedAt time.Time
	// adopted is set once the row of an earlier process was read.
	adopted atomic.Bool
}

// shared is what the rows of all daemons say.
type shared struct {
	readAt  time.Time
	streams map[key]Origin
	// complete reports whether all daemons have had time to write their rows.
	complete bool
}

// NewKeeper returns a Keeper, which Run starts.
func NewKeeper(o Options) *Keeper {
	if o.Confirm == nil {
		o.Confirm = func(context.Context, time.Time) error { return nil }
	}
	if o.Era == nil {
		o.Era = follow.NewEra()
	}
	book := NewBook()
	book.firstStart = o.FirstStart
	return &Keeper{
		Book: book, inquiries: newInquiries(book, o.Address), o: o,
		wake: make(chan struct{}, 1), reading: make(chan struct{}, 1),
	}
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
		// The loop goes round at least once in an interval, which spreads the writes of a
		// fleet whose rows are lost in a restoration.
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

// sync reads the rows of all daemons if this one does not know all versions that were in
// service, and writes the daemon's row if that is due, or removes it.
func (k *Keeper) sync(ctx context.Context) error {
	now := time.Now()
	if listed, all := k.versionsKnown(now); listed && !all && !now.Before(k.nextReading) {
		k.nextReading = now.Add(readPause)
		_, _ = k.read(ctx, now) // repeated if it fails, or if the rows are incomplete
	}
	if !k.Mixed(now) {
		if !k.written {
			return nil
		}
		return k.removeOwn(ctx)
	}
	if !k.adopted.Load() {
		// The row of an earlier process must not be replaced before it was read.
		if _, err := k.read(ctx, now); err != nil {
			return nil
		}
	}
	data, changes, err := k.encode(now)
	if err != nil {
		return err
	}
	era, _ := k.o.Era.Latest()
	if k.written && changes == k.covered && era == k.writtenEra && now.Sub(k.writtenAt) < refreshInterval {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	k.written = true // a write without a response may have been done
	if err := k.o.Table.Put(ctx, k.o.part(), k.o.Daemon, data); err != nil {
		k.o.Log.Event(telemetry.OriginsNotShared).Err(err).Send()
		return nil
	}
	// An era that begins during the call is later than this one: the row is written again.
	k.covered, k.writtenAt, k.writtenEra = changes, now, era
	return nil
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

// read returns the rows of all daemons, read after a time.
func (k *Keeper) read(ctx context.Context, after time.Time) (*shared, error) {
	select {
	case k.reading <- struct{}{}:
		defer func() { <-k.reading }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	now := time.Now()
	if k.rows != nil && !k.rows.readAt.Before(after) {
		return k.rows, nil
	}
	if k.failing && now.Sub(k.failedAt) < readPause {
		return nil, errReadPause
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := k.o.Table.ReadAll(ctx)
	if err != nil {
		k.failing, k.failedAt = true, time.Now()
		k.o.Log.Event(telemetry.OriginsNotShared).Err(err).Send()
		return nil, eris.Wrap(err, "reading the origins of streams")
	}
	// The reading itself may be the first call that shows a restoration.
	out := &shared{readAt: now, streams: make(map[key]Origin), complete: k.settled(now)}
	mixed := make(map[string]bool)
	for _, row := range rows {
		r, err := decodeRecord(row.Value)
		if err != nil || time.Since(time.Unix(r.Written, 0)) > Memory {
			continue
		}
		earlier := row.Key == k.o.Daemon && !k.adopted.Load()
		if row.Key != k.o.Daemon || earlier {
			for _, service := range r.Mixed {
				mixed[service] = true
			}
		}
		r.each(func(k key, o Origin, _ time.Duration) { out.streams[k] = o })
		if earlier {
			k.adopt(now, r)
		}
	}
	k.adopted.Store(true)
	k.report(now, mixed, out.complete)
	k.rows, k.failing = out, false
	return out, nil
}

// settled reports whether all daemons have had time to write their rows, as far as this one
// can tell: it has not heard lately of a restoration, and its own readings have not failed.
// The caller holds the semaphore.
func (k *Keeper) settled(now time.Time) bool {
	_, restoredAt := k.o.Era.Latest()
	for _, at := range []time.Time{k.failedAt, restoredAt} {
		if !at.IsZero() && now.Sub(at) < settleTime+k.o.interval() {
			return false
		}
	}
	return true
}
