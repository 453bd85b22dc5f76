package usage

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

const (
	// retryInterval is the time between two calls, or two writes, for one window.
	retryInterval = 500 * time.Millisecond
	// keptRows is the number of windows for which rows are kept.
	keptRows = 20
	// removedRows is the number of rows that a write removes at most, and removedSpan the
	// number of older rows that a new holder removes. The latter covers an outage of 200 s
	// with windows of 5 s.
	removedRows = 8
	removedSpan = 40
	// minReadRows is the number of windows whose rows a new holder reads at least.
	minReadRows = 4
	// clockTolerance is by how much the wall clocks of two holders may differ.
	clockTolerance = time.Second
)

// phase is how far the report of a window has come.
type phase uint8

const (
	// collecting means that the counts are not final.
	collecting phase = iota
	// writing means that the counts are to be written to the window's row.
	writing
	// rereading means that the outcome of a write is not known, or that there was a row.
	rereading
	// calling means that the row's counts are known and not reported yet.
	calling
	// ended means that the window is reported, or that it must not be reported any more.
	ended
)

// windowReport is the report of one window.
type windowReport struct {
	phase  phase
	counts map[domain.CustomerID]int64
	// due is when the report is due.
	due time.Duration
	// next is when the next step may be made.
	next  time.Duration
	calls int
	// adopted is set for a row that was there at the takeover, which an earlier holder may
	// have reported.
	adopted bool
}

// step is what a holder has to do for a window.
type step struct {
	window int64
	phase  phase // writing, rereading or calling
	counts map[domain.CustomerID]int64
}

// reporter decides what a holder does for which window. The counts of a window are
// reported only after its row has been written or read, so that all holders report the
// same ones. Times are those of the boot clock.
type reporter struct {
	windows map[int64]*windowReport
	// removeFrom is the oldest row that may have to be removed.
	removeFrom int64
}

func newReporter() *reporter { return &reporter{windows: make(map[int64]*windowReport)} }

// takeOver starts a term in which the daemon holds the duties. rows holds the rows of the
// latest windows, by window. Counts that were collected in an earlier term and are not in
// a row are forgotten: another holder may have collected others. Windows whose reports
// were due are left to the holder of that time.
func (r *reporter) takeOver(now time.Duration, current int64, rows map[int64]map[domain.CustomerID]int64, due func(window int64) time.Duration) {
	for w, report := range r.windows {
		if report.phase < calling {
			delete(r.windows, w)
		}
	}
	for w, counts := range rows {
		if r.windows[w] == nil {
			r.windows[w] = &windowReport{phase: calling, counts: counts, due: due(w), adopted: true}
		}
	}
	for _, report := range r.windows {
		if now >= report.due {
			report.phase = ended
		}
	}
	r.removeFrom = current - keptRows - removedSpan
}

// add adds a window that has ended and whose counts are collected.
func (r *reporter) add(window int64, due time.Duration) {
	if r.windows[window] == nil {
		r.windows[window] = &windowReport{due: due}
	}
}

// leave makes a window end without a report, unless it was added or has a row.
func (r *reporter) leave(window int64, due time.Duration) bool {
	if r.knows(window) {
		return false
	}
	r.windows[window] = &windowReport{phase: ended, due: due}
	return true
}

// knows reports whether the window was added or has a row.
func (r *reporter) knows(window int64) bool { return r.windows[window] != nil }

// collected ends the collection of a window. Counts of nil mean that it is not reported.
func (r *reporter) collected(window int64, counts map[domain.CustomerID]int64) {
	w := r.windows[window]
	if w == nil || w.phase != collecting {
		return
	}
	w.phase, w.counts = writing, counts
	if counts == nil {
		w.phase = ended
	}
}

// next returns the step that is due. Writes come first, and among equals the oldest
// window, whose report is due first.
func (r *reporter) next(now time.Duration) (step, bool) {
	var best step
	found := false
	for window, w := range r.windows {
		if w.phase == collecting || w.phase == ended || now < w.next || now >= w.due {
			continue
		}
		first := !found
		if found {
			calls, bestCalls := w.phase == calling, best.phase == calling
			first = calls == bestCalls && window < best.window || !calls && bestCalls
		}
		if first {
			best, found = step{window, w.phase, w.counts}, true
		}
	}
	return best, found
}

// written records the result of a write. After a failure the row is read, since the write
// may have been applied, or may yet be.
func (r *reporter) written(window int64, ok bool) {
	w := r.windows[window]
	if w == nil || w.phase != writing {
		return
	}
	w.phase = rereading
	if ok {
		w.phase = calling
	}
}

// read records the row of a window after a failed write. Without one, the counts are
// written again.
func (r *reporter) read(now time.Duration, window int64, counts map[domain.CustomerID]int64, exists bool) {
	w := r.windows[window]
	if w == nil || w.phase != rereading {
		return
	}
	if exists {
		w.phase, w.counts = calling, counts
		return
	}
	w.phase, w.next = writing, now+retryInterval
}

// failed records that the last step for a window failed.
func (r *reporter) failed(now time.Duration, window int64) {
	if w := r.windows[window]; w != nil {
		w.next = now + retryInterval
	}
}

// called records a call for a window, and returns the number of calls so far.
func (r *reporter) called(now time.Duration, window int64, ok bool) int {
	w := r.windows[window]
	if w == nil || w.phase != calling {
		return 0
	}
	w.calls++
	w.next = now + retryInterval
	if ok {
		w.phase = ended
	}
	return w.calls
}

// expire ends the windows whose reports were due, and forgets old ones. It returns those
// that were not reported.
func (r *reporter) expire(now time.Duration, oldest int64) (missed []int64) {
	for window, w := range r.windows {
		if w.phase != ended && now >= w.due {
			w.phase = ended
			if !w.adopted || w.calls > 0 {
				missed = append(missed, window)
			}
		}
		if window < oldest {
			delete(r.windows, window)
		}
	}
	return missed
}

// removable returns the windows whose rows a write for a window removes.
func (r *reporter) removable(window int64) []int64 {
	var out []int64
	for w := r.removeFrom; w < window-keptRows && len(out) < removedRows; w++ {
		out = append(out, w)
	}
	return out
}

// removed records that the rows before a window were removed.
func (r *reporter) removed(windows []int64) {
	if len(windows) > 0 {
		r.removeFrom = max(r.removeFrom, windows[len(windows)-1]+1)
	}
}
