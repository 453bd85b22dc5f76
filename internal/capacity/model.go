package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Role is a part of the system that the report gives figures for.
type Role string

// The roles in the order of the report.
const (
	RoleRequestPath Role = "request path of a daemon"
	RoleControl     Role = "control of a daemon"
	RolePlatform    Role = "platform tables and objects"
	RoleUpstreams   Role = "upstream-facing connections"
	RoleOperators   Role = "operators' tools"
)

// Figure is one extrapolated quantity.
type Figure struct {
	Size string `json:"size"`
	Role Role   `json:"role"`
	// Kind is state, messages, processor, memory or latency.
	Kind  string  `json:"kind"`
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Limit is zero where the design sets none.
	Limit float64 `json:"limit,omitempty"`
	// Basis is the arithmetic with the slopes' names.
	Basis     string `json:"basis"`
	Mechanism string `json:"mechanism"`
}

// Over reports whether the figure breaks its limit.
func (f *Figure) Over() bool { return f.Limit > 0 && f.Value > f.Limit }

// A slope's line is used where its R² reaches goodFit and where it lies within
// nearPoints of the measured points.
const (
	goodFit    = 0.9
	nearPoints = 0.25
)

// value returns a slope's value at x: that of the line where it fits the
// points around x, else the value interpolated between them. Outside the
// measured range it is that of the line, or of the nearest point where the line
// does not fit; below the range it is not negative.
func (s *Slope) value(x float64) float64 {
	if len(s.Points) == 0 {
		return math.NaN()
	}
	low, high := s.Range()
	measured := s.between(min(max(x, low), high))
	good := s.Fit.R2 >= goodFit && len(s.Points) > 2
	line := s.Fit.At(x)
	switch {
	case !good:
		return measured
	case x > high:
		return line
	case x < low:
		return min(max(line, 0), measured)
	case math.Abs(line-measured) > nearPoints*math.Abs(measured):
		return measured
	}
	return line
}

// between interpolates between the measured points; x lies in their range.
func (s *Slope) between(x float64) float64 {
	below, above := &s.Points[0], &s.Points[0]
	for i := range s.Points {
		p := &s.Points[i]
		if p.X <= x && (below.X > x || p.X > below.X) {
			below = p
		}
		if p.X >= x && (above.X < x || p.X < above.X) {
			above = p
		}
	}
	if above.X == below.X {
		return below.Y
	}
	return below.Y + (above.Y-below.Y)*(x-below.X)/(above.X-below.X)
}

// model extrapolates slopes to a size.
type model struct {
	size    Size
	slopes  map[string]*Slope
	figures []Figure
}

// extrapolate returns the figures of a size.
func extrapolate(size Size, list []Slope) []Figure {
	m := &model{size: size, slopes: map[string]*Slope{}}
	for i := range list {
		m.slopes[list[i].Name] = &list[i]
	}
	m.requestPath()
	m.control()
	m.platform()
	m.upstreams()
	m.operators()
	return m.figures
}

// at returns a slope's value; NaN if it was not measured.
func (m *model) at(name string, x float64) float64 {
	if s := m.slopes[name]; s != nil {
		return s.value(x)
	}
	return math.NaN()
}

// slope returns the increase for each unit of X.
func (m *model) slope(name string) float64 {
	if s := m.slopes[name]; s != nil {
		return s.Fit.Slope
	}
	return math.NaN()
}

func (m *model) add(role Role, kind, name string, value float64, unit string, limit float64, basis string) {
	f := Figure{Size: m.size.Name, Role: role, Kind: kind, Name: name, Value: value, Unit: unit, Limit: limit, Basis: basis}
	var mechanisms []string
	for _, d := range definitions {
		if strings.Contains(basis, d.name) && !strings.Contains(strings.Join(mechanisms, ", "), d.mechanism) {
			mechanisms = append(mechanisms, d.mechanism)
		}
	}
	f.Mechanism = strings.Join(mechanisms, ", ")
	m.figures = append(m.figures, f)
}

func (m *model) requestPath() {
	s := m.size
	events, requests, streams := s.EventsPerDaemon(), s.RequestsPerDaemon(), s.StreamsPerDaemon()
	role := RoleRequestPath
	m.add(role, "state", "streams in progress", streams, "", 0, "tokens/s x interval / daemons")
	m.add(role, "messages", "requests", requests, "1/s", 0, "requests/s / daemons")
	m.add(role, "messages", "token events", events, "1/s", 0, "tokens/s / daemons")
	perEvents, perRequest := m.at("relay/events", events), m.slope("relay/requests")
	limit := limitRelayCPU * max(events/3000, 0.1)
	m.add(role, "processor", "relaying token events", perEvents, "% of a core", limit, "relay/events at events/s")
	lost := s.DaemonsPerZone()
	m.add(role, "processor", "relaying with a zone lost", m.at("relay/events", events*float64(s.Daemons)/(float64(s.Daemons)-lost)), "% of a core", 0, "relay/events at tokens/s / (daemons - daemons of a zone)")
	m.add(role, "processor", "relaying with a region lost", m.at("relay/events", events*float64(s.Regions)/float64(s.Regions-1)), "% of a core", 0, "relay/events at tokens/s / daemons of the other regions")
	m.add(role, "processor", "accepting requests", perRequest*requests/10, "% of a core", 0, "relay/requests x requests/s")
	m.add(role, "processor", "routing decision", m.at("routing/subset", float64(s.Upstreams)), "µs", limitDecision, "routing/subset at upstreams")
	m.add(role, "processor", "routing decision without subsets", m.at("routing/all", float64(s.Upstreams)), "µs", 0, "routing/all at upstreams")
	m.add(role, "processor", "group hash of a request", m.at("routing/group", float64(s.Upstreams)), "µs", 0, "routing/group at upstreams")
	line, size := m.at("log/subset", float64(s.Upstreams)), m.at("log/subset-bytes", float64(s.Upstreams))
	m.add(role, "processor", "routing log line", line, "µs", 0, "log/subset at upstreams")
	m.add(role, "messages", "routing log lines", size*requests/1024, "KiB/s", 0, "log/subset-bytes x requests/s")
	m.add(role, "processor", "request path in total", perEvents+(perRequest*requests+line*requests/1000)/10, "% of a core", 0, "relay/events + (relay/requests + log/subset) x requests/s")
	m.add(role, "processor", "admission", m.at("admission/queue", requests*10), "µs", 0, "admission/queue at 10 s of waiting requests")
	m.add(role, "processor", "limiter and policy lookup", m.at("admission/limiter", float64(s.Customers))+m.at("policy/lookup", float64(s.Customers)), "µs", 0, "admission/limiter + policy/lookup at customers")
	m.add(role, "memory", "streams in progress", m.slope("relay/memory")*streams/(1<<20), "MiB", 0, "relay/memory x streams")
	m.add(role, "latency", "added p99 at half load", m.at("relay/added-p99", events/2), "ms", limitAddedLatency, "relay/added-p99")
}

// The polling rule of internal/daemon: the interval grows with the number of
// upstreams so that reports of reportBytes take reportBudget bytes per second.
const (
	reportBytes       = 400.0
	reportBudget      = 1000.0
	minReportInterval = 1.0
	maxReportInterval = 30.0
	// cacheBudget bounds the cache events that a daemon reads, in bytes per
	// second.
	cacheBudget = 300.0
)

// reportsPerSecond is how many load reports a daemon with n upstreams reads.
func reportsPerSecond(n float64) float64 {
	interval := min(max(n*reportBytes/reportBudget, minReportInterval), maxReportInterval)
	return n / interval
}

// cacheEventsPerRequest is the number of cache events of a request with a
// prompt of 500 tokens of which half is cached: four blocks of 256 bytes are
// stored and, with a full cache, as many are evicted.
const cacheEventsPerRequest = 8

// factsPerDay is the number of facts that a day brings: four for each daemon
// that ends or starts, and for each upstream, drained once a day, its leave,
// its return and an acknowledgement of each daemon that uses it.
func (s Size) factsPerDay() float64 {
	return 4*(s.RestartsPerDay+s.FailuresPerDay) + float64(s.Upstreams)*(2+s.Sharers())
}

func (m *model) control() {
	s := m.size
	n, role := float64(s.Daemons), RoleControl
	changes := s.ChangesPerDay / secondsPerDay
	upstreams := float64(s.Upstreams)
	rebuild := m.at("subset/site", upstreams) + m.at("configuration/table", upstreams)
	apply := rebuild + m.at("configuration/decode", upstreams) + m.at("configuration/compile", upstreams) +
		m.at("configuration/limiter", upstreams)
	rebuilds := (4*(s.RestartsPerDay+s.FailuresPerDay) + upstreams) / secondsPerDay
	reads, writes := m.at("platform/reads", n)/n, m.at("platform/writes", n)/n
	reports, all := reportsPerSecond(s.SubsetSize()), reportsPerSecond(upstreams)
	m.add(role, "processor", "one change: decode, compile, apply", apply, "ms", 0, "configuration/decode + configuration/compile + subset/site + configuration/table + configuration/limiter at upstreams")
	m.add(role, "processor", "one roster change: subset and table", rebuild, "ms", 0, "subset/site + configuration/table")
	frames := m.at("mesh/idle-messages", n)
	cpu := map[string]float64{
		"changes": apply * changes / 10, "rosters": rebuild * rebuilds / 10, "mesh": m.at("mesh/idle-cpu", n), "frames": m.slope("mesh/frame-cpu") * frames / 10,
		"cores": m.at("platform/core-cpu", n), "reports": m.at("polling/report-cpu", 1) * reports / 1e4,
		"calls": m.at("polling/read-cpu", 1) * (reads + writes) / 1e4,
	}
	m.add(role, "processor", "control in total", sum(cpu), "% of a core", limitControlCPU,
		"change x changes/s + roster change x roster changes/s + mesh/idle-cpu + mesh/frame-cpu x frames + platform/core-cpu + polling/report-cpu x reports + polling/read-cpu x calls")
	bytes := map[string]float64{
		"mesh": m.at("mesh/idle-bytes", n), "changes": m.at("mesh/change-bytes", n) * changes,
		"facts":   m.at("mesh/fact-bytes", n) * s.factsPerDay() / secondsPerDay,
		"reports": m.at("polling/report-bytes", 1) * reports,
		"cache":   cacheBudget,
		"calls":   m.at("polling/read-bytes", 1)*reads + m.at("polling/write-bytes", 1)*writes,
	}
	m.add(role, "messages", "mesh frames sent", frames, "1/s", 0, "mesh/idle-messages")
	m.add(role, "messages", "mesh, idle", bytes["mesh"], "B/s", 0, "mesh/idle-bytes")
	m.add(role, "messages", "mesh, idle, busiest daemon", m.at("mesh/idle-bytes-max", n), "B/s", 0, "mesh/idle-bytes-max")
	m.add(role, "messages", "mesh, changes", bytes["changes"], "B/s", 0, "mesh/change-bytes x changes")
	m.add(role, "messages", "mesh, facts", bytes["facts"], "B/s", 0, fmt.Sprintf("mesh/fact-bytes x %.0f facts a day", s.factsPerDay()))
	m.add(role, "messages", "load reports", bytes["reports"], "B/s", 0, fmt.Sprintf("polling/report-bytes x %.2f/s (subset of %.0f)", reports, s.SubsetSize()))
	m.add(role, "state", "age of a load report when the next one comes", s.SubsetSize()/reports, "s", 0, "subset / reports/s")
	cacheEvents := s.RequestsPerSecond / upstreams * cacheEventsPerRequest * s.SubsetSize()
	m.add(role, "messages", "cache events under load, all", m.slope("polling/cache-bytes")*cacheEvents, "B/s", 0, fmt.Sprintf("polling/cache-bytes x %.0f events/s (requests/s / upstreams x %d x subset)", cacheEvents, cacheEventsPerRequest))
	m.add(role, "messages", "load reports without subsets", m.at("polling/report-bytes", 1)*all, "B/s", 0, fmt.Sprintf("polling/report-bytes x %.2f/s", all))
	m.add(role, "messages", "platform calls", bytes["calls"], "B/s", 0, "polling/read-bytes x platform/reads + polling/write-bytes x platform/writes")
	m.add(role, "messages", "control in total", sum(bytes), "B/s", limitControlBytes, "mesh/idle-bytes + mesh/change-bytes + mesh/fact-bytes + polling/report-bytes + cache budget + platform calls")
	m.add(role, "messages", "cache events read", cacheBudget, "B/s", 0, "budget of internal/daemon")
	busiest := sum(bytes) - bytes["mesh"] + m.at("mesh/idle-bytes-max", n)
	m.add(role, "messages", "control in total, busiest daemon", busiest, "B/s", limitControlBytes, "the same with mesh/idle-bytes-max")
	mesh := m.at("mesh/memory", n) + frames*m.slope("mesh/connection-memory")/2
	m.add(role, "memory", "mesh node and connections", mesh/1024, "KiB", 0, "mesh/memory + mesh/connection-memory x neighbours / 2")
	policies := 2 * m.at("configuration/memory", upstreams) / (1 << 20)
	m.add(role, "memory", "configuration, two revisions during a change", policies, "MiB", 0, "2 x configuration/memory")
	total := policies + mesh/(1<<20) + m.slope("relay/memory")*s.StreamsPerDaemon()/(1<<20)
	m.add(role, "memory", "live memory with streams", total, "MiB", limitMemory/(1<<20), "2 x configuration/memory + mesh/memory + relay/memory x streams")
	m.add(role, "memory", "the same with the collector's headroom", 2*total, "MiB", limitMemory/(1<<20), "2 x (2 x configuration/memory + mesh/memory + relay/memory x streams), GOGC=100")
	spread := m.at("mesh/change-time", n)
	m.add(role, "latency", "change known everywhere", spread, "ms", limitPropagation, "mesh/change-time")
	m.add(role, "latency", "change in force everywhere", spread+apply, "ms", limitPropagation, "mesh/change-time + configuration/decode + configuration/compile + subset/site + configuration/table + configuration/limiter")
	m.add(role, "state", "links on the longest path", m.at("mesh/hops", n), "", 0, "mesh/hops")
}

func sum(parts map[string]float64) float64 {
	total := 0.0
	for _, v := range parts {
		total += v
	}
	return total
}

// sweptPerSecond is the number of claim rows that one daemon sweeps: a page
// of 1,000 rows 32 times each minute.
const sweptPerSecond = 32 * 1000.0 / 60

func (m *model) platform() {
	s := m.size
	n, role := float64(s.Daemons), RolePlatform
	reads, writes := m.at("platform/reads", n), m.at("platform/writes", n)
	changes := s.ChangesPerDay / secondsPerDay
	m.add(role, "messages", "periodic reads", reads, "1/s", limitReads, "platform/reads")
	m.add(role, "messages", "periodic writes", writes, "1/s", limitWrites, "platform/writes")
	m.add(role, "messages", "changes, writes", m.at("platform/change-writes", 1)*changes, "1/s", limitWrites, "platform/change-writes x changes")
	m.add(role, "messages", "changes, reads, if the mesh is down", (m.at("platform/change-reads", 1)+n)*changes, "1/s", limitReads, "(platform/change-reads + daemons) x changes")
	for _, share := range claimShares {
		rate := share * s.RequestsPerSecond
		name := fmt.Sprintf("claims of %.0f%% of requests, writes", 100*share)
		m.add(role, "messages", name, m.at("claims/writes", rate), "1/s", limitWrites-writes, "claims/writes")
		m.add(role, "messages", name+", batched", min(m.at("claims/batched-writes", rate), m.at("claims/writes", rate)), "1/s", limitWrites-writes, "claims/batched-writes")
	}
	m.add(role, "messages", "busiest second after an outage, reads", m.at("platform/recovery-reads", n), "1/s", limitReads, "platform/recovery-reads")
	m.add(role, "messages", "busiest second after an outage, writes", m.at("platform/recovery-writes", n), "1/s", limitWrites, "platform/recovery-writes")
	zone := s.DaemonsPerZone()
	m.add(role, "messages", "busiest second of a zone's restart, reads", reads+m.at("platform/restart-reads", zone), "1/s", limitReads, "platform/reads + platform/restart-reads")
	m.add(role, "messages", "busiest second of a zone's restart, writes", writes+m.at("platform/restart-writes", zone), "1/s", limitWrites, "platform/writes + platform/restart-writes")
	document := m.at("operators/document", float64(s.Customers+s.Upstreams))
	m.add(role, "messages", "objects read by a zone's restart", document*zone/(1<<20), "MiB", 0, "operators/document x daemons of a zone")
	m.add(role, "state", "rows of daemons", 2*n+float64(len(leaseNames)), "", 0, "2 x daemons + leases")
	m.add(role, "state", "objects a day", s.ChangesPerDay, "", 0, "changes")
	m.add(role, "state", "objects a day, volume", document*s.ChangesPerDay/(1<<20), "MiB", 0, "operators/document x changes")
	m.add(role, "messages", "claims to sweep, 1% of requests", 0.01*s.RequestsPerSecond, "1/s", sweptPerSecond, "requests/s; the limit is 32 pages of 1,000 rows a minute (internal/daemon)")
	m.add(role, "state", "claim rows, 1% of requests, 24 h", 0.01*s.RequestsPerSecond*secondsPerDay, "", 0, "requests/s x 24 h")
}

func (m *model) upstreams() {
	s, role := m.size, RoleUpstreams
	pairs := float64(s.Daemons * s.Upstreams)
	sharers := s.Sharers()
	m.add(role, "state", "streams on a replica", s.StreamsPerUpstream(), "", 0, "tokens/s x interval / upstreams")
	m.add(role, "state", "connections of a daemon with work", s.StreamsPerDaemon(), "", 0, "one for each stream in progress (HTTP/1.1)")
	m.add(role, "state", "upstreams of a daemon", s.SubsetSize(), "", 0, "models x (8 of the own region + 2 of each other region), at most all")
	m.add(role, "state", "daemons on a replica, mean", sharers, "", 0, "daemons x subset / upstreams")
	m.add(role, "state", "daemons on a replica, most, to the mean", m.at("subset/imbalance", pairs), "x", 0, "subset/imbalance")
	m.add(role, "state", "slots share of a daemon at a replica", slotsPerUp/sharers, "", 0, fmt.Sprintf("%d slots / daemons on a replica", slotsPerUp))
	m.add(role, "state", "streams of a daemon at a replica", s.StreamsPerUpstream()/sharers, "", 0, "streams on a replica / daemons on it")
	m.add(role, "messages", "pairs that move when a daemon leaves", 100*m.at("subset/moved", pairs), "%", 0, "subset/moved")
	m.add(role, "messages", "load reports that a replica answers", reportsPerSecond(s.SubsetSize())*float64(s.Daemons)/float64(s.Upstreams), "1/s", 0, "reports of a daemon x daemons / upstreams")
}

func (m *model) operators() {
	s, role := m.size, RoleOperators
	items := float64(s.Customers + s.Upstreams)
	m.add(role, "messages", "changes", s.ChangesPerDay/secondsPerDay*60, "1/min", 0, "changes a day")
	m.add(role, "processor", "impact of a change", m.at("operators/impact", float64(s.Upstreams)), "ms", 0, "operators/impact at upstreams")
	m.add(role, "state", "configuration text", m.at("operators/document", items)/1024, "KiB", 0, "operators/document at customers + upstreams")
	m.add(role, "messages", "delta of one label", m.at("operators/delta", 1), "B", 0, "operators/delta")
	m.add(role, "messages", "reads for each change", m.at("platform/change-reads", 1), "", 0, "platform/change-reads")
	m.add(role, "messages", "writes for each change", m.at("platform/change-writes", 1), "", 0, "platform/change-writes")
}
