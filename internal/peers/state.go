package peers

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/balancer"
)

const (
	// workReportTTL is how long a work report counts after its origin sent it.
	// It covers propagation to a few hundred daemons.
	workReportTTL = 8 * time.Second
	// loadReportTTL is how long a load report is passed on.
	loadReportTTL = 3 * time.Second
	// peerAdvertiseTime is how long the address of a silent peer is sent to
	// others.
	peerAdvertiseTime = 10 * time.Second
	// peerTimeout is how long a silent peer still gets messages.
	peerTimeout = time.Minute

	// The limits on the entries of one message, about 700 bytes. More and
	// smaller messages spread new entries sooner than fewer and larger ones.
	maxWorkReports = 36
	maxLoadReports = 16
	maxPeers       = 3
)

// Hash returns a short form of a name for use in messages.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

type reportKey struct{ origin, service uint32 }

// datedReport is a WorkReport with the time of its creation by this daemon's
// clock.
type datedReport struct {
	WorkReport
	reportedAt time.Time
}

// State is what one daemon knows of its peers. It is not safe for concurrent
// use.
type State struct {
	self   string // address
	origin uint32
	seq    uint16

	workReports map[reportKey]*datedReport
	loads       map[uint32]balancer.LoadReport
	// peers maps addresses to the times at which they were last heard from.
	peers map[string]time.Time
}

// NewState returns the state of a daemon without peers. address is where it
// receives datagrams; start has to differ between the daemon's processes.
func NewState(daemon, address, start string) *State {
	return &State{
		self: address, origin: Hash(daemon + " " + start),
		workReports: make(map[reportKey]*datedReport),
		loads:       make(map[uint32]balancer.LoadReport),
		peers:       make(map[string]time.Time),
	}
}

// AddPeer adds a peer that has not been heard from yet.
func (s *State) AddPeer(address string, now time.Time) {
	if address == s.self || address == "" {
		return
	}
	if _, known := s.peers[address]; !known {
		s.peers[address] = now.Add(-peerAdvertiseTime)
	}
}

// SetWork sets the daemon's own work report for a service.
func (s *State) SetWork(now time.Time, service uint32, w balancer.Work) {
	s.seq++
	s.workReports[reportKey{s.origin, service}] = &datedReport{
		WorkReport: WorkReport{
			Origin: s.origin, Seq: s.seq,
			Interactive: clamp(w.Interactive), Other: clamp(w.Other),
		},
		reportedAt: now,
	}
}

func clamp(x float64) uint16 { return uint16(min(max(x, 0), math.MaxUint16)) }

// SetLoadReport records a load report that this daemon received from an
// upstream, unless a newer one is known.
func (s *State) SetLoadReport(upstream uint32, r balancer.LoadReport) {
	if old, known := s.loads[upstream]; !known || r.At.After(old.At) {
		s.loads[upstream] = r
	}
}

// Receive merges a message. It returns the load reports that are newer than the
// known ones.
func (s *State) Receive(now time.Time, m *Message) map[uint32]balancer.LoadReport {
	if m.Sender != "" && m.Sender != s.self {
		s.peers[m.Sender] = now
	}
	for _, address := range m.Peers {
		s.AddPeer(address, now)
	}
	for _, service := range m.Services {
		for _, d := range unpackWorkReports(service.Reports) {
			s.receiveWorkReport(now, service.Name, d)
		}
	}
	fresh := make(map[uint32]balancer.LoadReport)
	for _, l := range m.Loads {
		r := balancer.LoadReport{
			Load: balancer.Load{Running: int(l.Running), Waiting: int(l.Waiting)},
			At:   now.Add(-time.Duration(l.Age) * ageUnit),
		}
		if old, known := s.loads[l.Upstream]; !known || r.At.Sub(old.At) > ageUnit {
			s.loads[l.Upstream] = r
			fresh[l.Upstream] = r
		}
	}
	return fresh
}

func (s *State) receiveWorkReport(now time.Time, service uint32, d WorkReport) {
	if d.Origin == s.origin {
		return
	}
	key := reportKey{d.Origin, service}
	if old := s.workReports[key]; old != nil && !newer(d.Seq, old.Seq) {
		return
	}
	s.workReports[key] = &datedReport{WorkReport: d, reportedAt: now.Add(-time.Duration(d.Age) * ageUnit)}
}

// TotalWork returns the work that all daemons send to a service, and the number
// of daemons that it counts.
func (s *State) TotalWork(now time.Time, service uint32) (balancer.Work, int) {
	var w balancer.Work
	n := 0
	for key, d := range s.workReports {
		if key.service != service || now.Sub(d.reportedAt) >= workReportTTL {
			continue
		}
		w.Interactive += float64(d.Interactive)
		w.Other += float64(d.Other)
		n++
	}
	return w, n
}

// Compose returns the next message, with the newest work and load reports.
func (s *State) Compose(now time.Time, rng *rand.Rand) *Message {
	s.expire(now)
	m := &Message{Sender: s.self, Peers: s.samplePeers(now, rng)}
	m.Services = s.newestWorkReports(now)
	for id, r := range s.loads {
		m.Loads = append(m.Loads, LoadReport{
			Upstream: id, Running: uint32(max(r.Running, 0)), Waiting: uint32(max(r.Waiting, 0)),
			Age: uint32(max(now.Sub(r.At), 0) / ageUnit),
		})
	}
	slices.SortFunc(m.Loads, func(a, b LoadReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream))
	})
	m.Loads = m.Loads[:min(len(m.Loads), maxLoadReports)]
	return m
}

// newestWorkReports returns the most recent work reports. Older ones have
// reached other daemons already.
func (s *State) newestWorkReports(now time.Time) []ServiceWork {
	keys := make([]reportKey, 0, len(s.workReports))
	for key := range s.workReports {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b reportKey) int {
		return cmp.Or(
			s.workReports[b].reportedAt.Compare(s.workReports[a].reportedAt),
			cmp.Compare(a.service, b.service), cmp.Compare(a.origin, b.origin),
		)
	})
	var out []ServiceWork
	for _, key := range keys[:min(len(keys), maxWorkReports)] {
		i := slices.IndexFunc(out, func(one ServiceWork) bool { return one.Name == key.service })
		if i < 0 {
			i = len(out)
			out = append(out, ServiceWork{Name: key.service})
		}
		d := s.workReports[key]
		d.Age = uint8(min(now.Sub(d.reportedAt)/ageUnit, math.MaxUint8))
		out[i].Reports = append(out[i].Reports, packWorkReports([]WorkReport{d.WorkReport})...)
	}
	return out
}

func (s *State) expire(now time.Time) {
	for key, d := range s.workReports {
		if now.Sub(d.reportedAt) >= workReportTTL {
			delete(s.workReports, key)
		}
	}
	for id, r := range s.loads {
		if now.Sub(r.At) >= loadReportTTL {
			delete(s.loads, id)
		}
	}
	for address, heard := range s.peers {
		if now.Sub(heard) >= peerTimeout {
			delete(s.peers, address)
		}
	}
}

// Targets returns the addresses of at most n random peers.
func (s *State) Targets(rng *rand.Rand, n int) []string {
	all := s.filterPeers(func(time.Time) bool { return true })
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), n)]
}

// samplePeers returns at most maxPeers random peers that were heard from
// recently.
func (s *State) samplePeers(now time.Time, rng *rand.Rand) []string {
	all := s.recentPeers(now)
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxPeers)]
}

// recentPeers returns the peers heard from within peerAdvertiseTime, sorted.
func (s *State) recentPeers(now time.Time) []string {
	return s.filterPeers(func(heard time.Time) bool { return now.Sub(heard) < peerAdvertiseTime })
}

// filterPeers returns the peers for which keep is true, sorted.
func (s *State) filterPeers(keep func(heard time.Time) bool) []string {
	var out []string
	for address, heard := range s.peers {
		if keep(heard) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}
