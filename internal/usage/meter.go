package usage

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// idleTick is the time between two checks of a daemon that does not hold the duties.
	idleTick = 250 * time.Millisecond
	// maxOutbox bounds the datagrams that wait to be sent. Others are lost, and repeated
	// like those that the network loses.
	maxOutbox = 512
	// dropLogInterval is the time between two log lines on counts that were dropped.
	dropLogInterval = 10 * time.Second
)

// Duty lets the holder of the duties make one call.
type Duty interface {
	Do(ctx context.Context, act func(context.Context, ports.DutyCall) error) error
	Held() bool
}

// Options configures a Meter. Duty, Table, Restored and API may be nil: the daemon then
// counts and answers, but reports nothing. All others are required.
type Options struct {
	// Daemon is the daemon's name, and Address where it receives datagrams.
	Daemon  string
	Address string
	// Window is the length of a window, and Due how long after its end its report is due.
	Window, Due time.Duration
	// Wall is the wall clock, and Boot the time since the VM's start, with the time for which
	// it was suspended.
	Wall  func() time.Time
	Boot  func() time.Duration
	Duty  Duty
	Table ports.Table
	// Restored returns when, by Boot, the daemon first heard that the table had last been
	// restored from an older copy, and false if it never was.
	Restored func() (heardAt time.Duration, ok bool)
	API      ports.Duties

	Log     *telemetry.Log
	Metrics *telemetry.Metrics
}

// Meter counts the requests of customers, exchanges counts with peers, and reports them
// while the daemon holds the duties.
type Meter struct {
	Options
	origin  Origin
	updated chan struct{}

	mu     sync.Mutex
	clock  Clock
	ledger *Ledger
	// firstWhole is the first window that began after the process had started.
	firstWhole int64
	copies     copies
	// copied holds the latest window of each origin of which peers have sent copies.
	copied map[Origin]int64
	// daemons are the other daemons, and keepers those that may keep copies, in the order
	// in which they are used.
	daemons, keepers []string
	collections      map[int64]*collection
	reporter         *reporter
	// holding is set while the daemon holds the duties and has read the rows of earlier
	// windows.
	holding bool
	// nextTakeOver is when these rows may be read again, by the boot clock.
	nextTakeOver time.Duration
	// firstRow is the earliest window that is known to have a row, or zero.
	firstRow int64
	outbox   []Datagram
	// stepLogged is set once the current step of the wall clock is logged.
	stepLogged     bool
	droppedLogged  int64
	dropLoggedAt   time.Duration
	counted, sent  metrics.Counter
	lost, rejected metrics.Counter
	reported       metrics.Counter
	missed         metrics.Counter
}

// New returns a Meter that has counted nothing.
func New(o Options) *Meter {
	m := &Meter{
		Options: o, origin: Origin(xxhash.Sum64String(o.Daemon + " " + uuid.NewString())), updated: make(chan struct{}, 1),
		ledger: NewLedger(), copied: make(map[Origin]int64), collections: make(map[int64]*collection), reporter: newReporter(),
		counted: o.Metrics.Counter("auburndyke_usage_counted_total"), sent: o.Metrics.Counter("auburndyke_usage_datagrams_total"),
		lost: o.Metrics.Counter("auburndyke_usage_datagrams_dropped_total"), rejected: o.Metrics.Counter("auburndyke_usage_counts_dropped_total"),
		reported: o.Metrics.Counter("auburndyke_usage_windows_reported_total"), missed: o.Metrics.Counter("auburndyke_usage_windows_missed_total"),
	}
	now, _ := m.now()
	m.firstWhole = m.windowAt(now) + 1
	return m
}

// Count counts a request that began to run.
func (m *Meter) Count(customer domain.CustomerID) {
	if customer == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now, _ := m.now()
	if m.ledger.Add(m.windowAt(now), m.origin, customer) {
		m.counted.Inc(1)
	}
}

// now returns the filtered wall clock and the boot clock. The caller holds mu.
func (m *Meter) now() (time.Time, time.Duration) {
	boot := m.Boot()
	return m.clock.Now(m.Wall(), boot), boot
}

func (m *Meter) windowAt(t time.Time) int64 {
	n, length := t.UnixNano(), int64(m.Window)
	w := n / length
	if n%length < 0 {
		w--
	}
	return w
}

// endOf returns when a window ends, by the boot clock.
func (m *Meter) endOf(window int64, now time.Time, boot time.Duration) time.Duration {
	return boot + time.Duration((window+1)*int64(m.Window)-now.UnixNano())
}

// reportedWindows returns how many windows back a report may be due.
func (m *Meter) reportedWindows() int64 {
	due := int64((m.Due + m.Window - 1) / m.Window)
	return min(max(due+1, minReadRows), maxWindowDistance)
}

// SetPeers sets the addresses of the known daemons, and of those of the daemon's zone.
func (m *Meter) SetPeers(all, zone []string) {
	all, zone = m.ring(all), m.ring(zone)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.daemons, m.keepers = all, zone
	if len(zone) == 0 {
		m.keepers = all
	}
}

// ring returns the other daemons, from the one behind this daemon in the order of their
// hashes. Each daemon keeps copies for the two before it, if all know the same daemons.
func (m *Meter) ring(addresses []string) []string {
	type entry struct {
		address string
		hash    uint64
	}
	self := xxhash.Sum64String(m.Address)
	var all []entry
	for _, a := range addresses {
		if a != m.Address && a != "" {
			// The difference to the own hash wraps around and gives the order.
			all = append(all, entry{a, xxhash.Sum64String(a) - self})
		}
	}
	slices.SortFunc(all, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address))
	})
	all = slices.Compact(all)
	out := make([]string, len(all))
	for i, e := range all {
		out[i] = e.address
	}
	return out
}

// Updated receives a value when there are datagrams to send.
func (m *Meter) Updated() <-chan struct{} { return m.updated }

// Outgoing returns the datagrams to send.
func (m *Meter) Outgoing() []Datagram {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.outbox
	m.outbox = nil
	return out
}

// CopiesHeld returns the number of origins of which the daemon keeps copies.
func (m *Meter) CopiesHeld() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.copied)
}

// send queues messages. The caller holds mu.
func (m *Meter) send(to string, messages ...*Message) {
	for _, message := range messages {
		if len(m.outbox) >= maxOutbox {
			m.lost.Inc(1)
			continue
		}
		m.outbox = append(m.outbox, Datagram{to, message})
		m.sent.Inc(1)
	}
	select {
	case m.updated <- struct{}{}:
	default:
	}
}

// Receive handles a message of a peer.
func (m *Meter) Receive(message *Message) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, _ := m.now()
	current := m.windowAt(now)
	if !message.Valid() || message.Window < current-maxWindowDistance || message.Window > current+maxWindowDistance {
		m.rejected.Inc(int64(max(len(message.Counts), 1)))
		return
	}
	switch message.Kind {
	case KindCounts, KindCopy:
		m.merge(message, current)
	case KindHeld:
		if message.Origin == m.origin {
			m.copies.confirm(message.Sender, message.Held)
		}
	case KindQuery:
		// Counts are final only once the window has ended by this daemon's clock. Otherwise
		// the query is repeated.
		if message.Window < current {
			m.answer(message)
		}
	case KindAnswer:
		if c := m.collections[message.Window]; c != nil {
			c.answer(message.Sender, message.Held)
		}
	}
}

// merge takes over counts of another origin. The caller holds mu.
func (m *Meter) merge(message *Message, current int64) {
	if message.Origin == m.origin || message.Window < m.oldest(current) {
		return // nobody knows the own counts better, and old ones are not reported any more
	}
	for _, c := range message.Counts {
		m.ledger.Merge(message.Window, message.Origin, c)
	}
	if message.Kind != KindCopy {
		return
	}
	if _, known := m.copied[message.Origin]; known || len(m.copied) < maxHeld {
		m.copied[message.Origin] = max(m.copied[message.Origin], message.Window)
	}
	reply := &Message{Kind: KindHeld, Sender: m.Address, Window: message.Window, Origin: message.Origin}
	for w := current - copiedWindows; w <= current+1; w++ {
		if total := m.ledger.Total(w, message.Origin); total > 0 {
			reply.Held = append(reply.Held, Held{Origin: message.Origin, Window: w, Total: total})
		}
	}
	m.send(message.Sender, reply)
}

// answer answers a query for the counts of a window that has ended. The caller holds mu.
func (m *Meter) answer(q *Message) {
	wanted := q.Wanted
	if len(wanted) == 0 {
		wanted = []Origin{m.origin}
	}
	for _, origin := range wanted {
		m.send(q.Sender, countMessages(m.Address, m.ledger, q.Window, origin)...)
	}
	reply := &Message{Kind: KindAnswer, Sender: m.Address, Window: q.Window, Origin: m.origin}
	// The own total, also one of zero, shows that the daemon ran when the window began.
	if total := m.ledger.Total(q.Window, m.origin); total > 0 || q.Window >= m.firstWhole {
		reply.Held = append(reply.Held, Held{Origin: m.origin, Window: q.Window, Total: total})
	}
	for _, origin := range slices.Sorted(maps.Keys(m.copied)) {
		if total := m.ledger.Total(q.Window, origin); total > 0 && len(reply.Held) < maxHeld {
			reply.Held = append(reply.Held, Held{Origin: origin, Window: q.Window, Total: total})
		}
	}
	m.send(q.Sender, reply)
}

// oldest returns the oldest window whose counts are kept.
func (m *Meter) oldest(current int64) int64 {
	return current - max(m.reportedWindows(), copiedWindows)
}

// tick sends copies and queries that are due.
func (m *Meter) tick() {
	held := m.Duty != nil && m.Duty.Held()
	m.mu.Lock()
	defer m.mu.Unlock()
	now, boot := m.now()
	current := m.windowAt(now)
	m.ledger.Expire(m.oldest(current), current+maxWindowDistance)
	maps.DeleteFunc(m.copied, func(_ Origin, window int64) bool { return window < m.oldest(current) })
	m.logClockStep()
	m.logDropped(boot)
	m.Metrics.Gauge("auburndyke_usage_copies_held").Update(float64(len(m.copied)))
	m.Metrics.Gauge("auburndyke_usage_ledger_counts").Update(float64(m.ledger.cells))
	m.sendCopies(boot, current)
	if !held || !m.holding {
		m.holding = false
		clear(m.collections)
		return
	}
	m.collect(now, boot, current)
	for _, window := range m.reporter.expire(boot, m.oldest(current)) {
		m.missed.Inc(1)
		m.Log.Event(telemetry.UsageMissed).Int64("window", window).Send()
	}
}

// sendCopies sends the own counts to the daemons that keep copies. The caller holds mu.
func (m *Meter) sendCopies(boot time.Duration, current int64) {
	total := func(window int64) int64 { return m.ledger.Total(window, m.origin) }
	windows := m.copies.next(boot, m.keepers, current, total)
	for _, to := range slices.Sorted(maps.Keys(windows)) {
		var messages []*Message
		for _, w := range windows[to] {
			messages = append(messages, countMessages(m.Address, m.ledger, w, m.origin)...)
		}
		if len(messages) > 0 {
			messages[len(messages)-1].Kind = KindCopy
		}
		m.send(to, messages...)
	}
}

// collect starts, continues and ends the collections of windows. The caller holds mu.
func (m *Meter) collect(now time.Time, boot time.Duration, current int64) {
	for w := current - m.reportedWindows(); w < current; w++ {
		ended := m.endOf(w, now, boot)
		due := ended + m.Due
		if boot < due && !m.reporter.knows(w) {
			m.reporter.add(w, due)
			m.collections[w] = newCollection(boot, w, ended, due, m.daemons)
		}
	}
	for _, w := range slices.Sorted(maps.Keys(m.collections)) {
		c := m.collections[w]
		total := func(origin Origin) int64 { return m.ledger.Total(w, origin) }
		if c.done(boot, total) {
			m.finish(c, total)
			continue
		}
		for _, q := range c.next(boot, total) {
			m.send(q.to, &Message{Kind: KindQuery, Sender: m.Address, Window: w, Wanted: q.wanted})
		}
	}
}

// finish ends the collection of a window. The caller holds mu.
func (m *Meter) finish(c *collection, total func(Origin) int64) {
	delete(m.collections, c.window)
	sum := m.ledger.Sum(c.window)
	fleetRan := len(sum) > 0 || c.window >= m.firstWhole || m.firstRow != 0 && c.window > m.firstRow || c.ranAtStart()
	if !fleetRan {
		sum = nil
	}
	m.reporter.collected(c.window, sum)
	var requests int64
	for _, n := range sum {
		requests += n
	}
	m.Log.Event(telemetry.UsageCollected).Int64("window", c.window).Int("daemons", len(c.daemons)+1).
		Int("silent", c.silent(total)).Int("customers", len(sum)).Int64("requests", requests).Bool("reported", fleetRan).Send()
}

// logClockStep logs once that the wall clock was stepped. The caller holds mu.
func (m *Meter) logClockStep() {
	step := m.clock.Step()
	if step != 0 && !m.stepLogged {
		m.Log.Event(telemetry.ClockStepHeld).Int64("step_ms", step.Milliseconds()).Int64("hold_ms", stepHoldTime.Milliseconds()).Send()
	}
	m.stepLogged = step != 0
}

// logDropped logs at a bounded rate that counts were dropped. The caller holds mu.
func (m *Meter) logDropped(boot time.Duration) {
	n := m.ledger.dropped - m.droppedLogged
	if n == 0 || m.dropLoggedAt != 0 && boot-m.dropLoggedAt < dropLogInterval {
		return
	}
	m.rejected.Inc(n)
	m.Log.Event(telemetry.UsageCountsDropped).Int64("dropped", n).Int64("total", m.ledger.dropped).Send()
	m.droppedLogged, m.dropLoggedAt = m.ledger.dropped, boot
}
