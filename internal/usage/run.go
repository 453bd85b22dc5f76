package usage

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/contain"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// rowPrefix is followed by the number of the window.
	rowPrefix = "usage/"
	// storeTimeout bounds a call to the store, and callTimeout one to the platform's API.
	// The latter is less than the margin before the end of a term in which no call begins.
	storeTimeout = 2 * time.Second
	callTimeout  = 900 * time.Millisecond
)

// row is the content of a window's row: the counts that are reported.
type row struct {
	Window int64                       `cbor:"1,keyasint"`
	Counts map[domain.CustomerID]int64 `cbor:"2,keyasint"`
}

func rowKey(window int64) string { return rowPrefix + strconv.FormatInt(window, 10) }

// Run sends copies, and collects and reports the usage while the daemon holds the duties,
// until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.repeat(ctx, "the report of usage", func() { m.act(ctx) })
	}()
	m.repeat(ctx, "the collection of usage", m.tick)
	<-done
	return nil
}

// repeat calls f at intervals until ctx ends. A panic is logged, and f is called again.
func (m *Meter) repeat(ctx context.Context, place string, f func()) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		// The error is logged where the panic is contained.
		_ = contain.Do(m.Log, place, func() error { f(); return nil })
		wait := idleTick
		if m.Duty != nil && m.Duty.Held() {
			wait = queryTick
		}
		timer.Reset(wait)
	}
}

// act makes the next call to the store or to the platform's API, if the daemon holds the
// duties.
func (m *Meter) act(ctx context.Context) {
	if m.Duty == nil || m.Table == nil || m.Restored == nil || m.API == nil || !m.Duty.Held() {
		return
	}
	m.mu.Lock()
	holding := m.holding
	_, boot := m.now()
	next, due := m.reporter.next(boot)
	m.mu.Unlock()
	var err error
	switch {
	case !holding:
		err = m.takeOver(ctx)
	case !due:
		return
	case next.phase == writing:
		err = m.write(ctx, next)
	case next.phase == rereading:
		err = m.reread(ctx, next.window)
	case next.phase == calling:
		err = m.call(ctx, next)
	}
	if err != nil && ctx.Err() == nil {
		m.Log.Event(telemetry.UsageCallFailed).Err(err).Int64("window", next.window).Bool("takeover", !holding).Send()
	}
}

// takeOver reads the rows of the latest windows, which are reported as they are.
func (m *Meter) takeOver(ctx context.Context) error {
	m.mu.Lock()
	now, boot := m.now()
	wait := boot < m.nextTakeOver
	if !wait {
		m.nextTakeOver = boot + retryInterval
	}
	m.mu.Unlock()
	if wait {
		return nil
	}
	current := m.windowAt(now)
	var windows []int64
	for w := current - m.reportedWindows(); w <= current; w++ {
		windows = append(windows, w)
	}
	rows, err := m.readRows(ctx, windows)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now, boot = m.now()
	m.reporter.takeOver(boot, current, rows, func(window int64) time.Duration { return m.endOf(window, now, boot) + m.Due })
	clear(m.collections)
	for w := range rows {
		m.seeRow(w)
	}
	m.leaveLostWindows(now, boot, current)
	m.holding = true
	return nil
}

// leaveLostWindows leaves out the windows without a row that ended before the table was
// restored: an earlier holder may have reported counts of which the table has lost the
// row. The caller holds mu.
func (m *Meter) leaveLostWindows(now time.Time, boot time.Duration, current int64) {
	heardAt, restored := m.Restored()
	if !restored {
		return
	}
	for w := current - m.reportedWindows(); w <= current; w++ {
		ended := m.endOf(w, now, boot)
		if due := ended + m.Due; boot < due && ended < heardAt+clockTolerance && m.reporter.leave(w, due) {
			m.Log.Event(telemetry.UsageWindowLeft).Int64("window", w).Send()
		}
	}
}

// seeRow records that a window has a row. The caller holds mu.
func (m *Meter) seeRow(window int64) {
	if m.firstRow == 0 || window < m.firstRow {
		m.firstRow = window
	}
}

// write writes the counts of a window unless it has a row, and removes old rows.
func (m *Meter) write(ctx context.Context, s step) error {
	value, err := cbor.Marshal(row{s.window, s.counts})
	if err != nil {
		return eris.Wrap(err, "encoding the usage of a window")
	}
	m.mu.Lock()
	removable := m.reporter.removable(s.window)
	m.mu.Unlock()
	writes := []ports.Write{{Key: rowKey(s.window), Value: value}}
	for _, w := range removable {
		writes = append(writes, ports.Write{Key: rowKey(w), Delete: true, Unconditional: true})
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = m.Table.Commit(call, writes...)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reporter.written(s.window, err == nil)
	if err == nil {
		m.reporter.removed(removable)
		m.seeRow(s.window)
		return nil
	}
	if conflict := (*ports.ConflictError)(nil); errors.As(err, &conflict) {
		return nil // another holder, or an earlier write, was first
	}
	return eris.Wrap(err, "writing the usage of a window")
}

// reread reads the row of a window after a write that failed or whose outcome is not
// known.
func (m *Meter) reread(ctx context.Context, window int64) error {
	rows, err := m.readRows(ctx, []int64{window})
	m.mu.Lock()
	defer m.mu.Unlock()
	_, boot := m.now()
	if err != nil {
		m.reporter.failed(boot, window)
		return err
	}
	counts, exists := rows[window]
	m.reporter.read(boot, window, counts, exists)
	if exists {
		m.seeRow(window)
	}
	return nil
}

// readRows returns the counts of the windows that have rows.
func (m *Meter) readRows(ctx context.Context, windows []int64) (map[int64]map[domain.CustomerID]int64, error) {
	keys := make([]string, len(windows))
	for i, w := range windows {
		keys[i] = rowKey(w)
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := m.Table.Get(call, keys...)
	if err != nil {
		return nil, eris.Wrap(err, "reading the usage of windows")
	}
	out := make(map[int64]map[domain.CustomerID]int64, len(rows))
	for _, one := range rows {
		if one.Deleted {
			continue
		}
		var r row
		if err := cbor.Unmarshal(one.Value, &r); err != nil || rowKey(r.Window) != one.Key {
			// Only this window is lost: its row can be neither reported nor replaced.
			m.Log.Event(telemetry.UsageCallFailed).Err(eris.New("the row can't be read")).Str("row", one.Key).Send()
			continue
		}
		if r.Counts == nil {
			r.Counts = make(map[domain.CustomerID]int64)
		}
		out[r.Window] = r.Counts
	}
	return out, nil
}

// call reports the counts of a window's row.
func (m *Meter) call(ctx context.Context, s step) error {
	err := m.Duty.Do(ctx, func(ctx context.Context, call ports.DutyCall) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return m.API.ReportUsage(ctx, call, ports.UsageReport{Window: s.window, Counts: s.counts})
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	now, boot := m.now()
	calls := m.reporter.called(boot, s.window, err == nil)
	if err != nil {
		return eris.Wrap(err, "reporting the usage of a window")
	}
	m.reported.Inc(1)
	m.Log.Event(telemetry.UsageReported).Int64("window", s.window).Int("customers", len(s.counts)).Int("calls", calls).
		Int64("after_ms", (boot - m.endOf(s.window, now, boot)).Milliseconds()).Send()
	return nil
}
