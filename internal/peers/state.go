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
	// demandLife is how long a demand counts after it was stated. It covers the
	// spreading to a few hundred daemons.
	demandLife = 8 * time.Second
	// loadLife is how long a load is passed on.
	loadLife = 3 * time.Second
	// peerLife is how long a silent peer is passed on to others.
	peerLife = 10 * time.Second
	// forgetPeer is how long a silent peer is sent to.
	forgetPeer = time.Minute

	// A message holds at most these many entries, about 700 bytes. More and
	// smaller messages spread what is new sooner than fewer and larger ones.
	maxDemands = 36
	maxLoads   = 16
	maxPeers   = 3
)

// Hash shortens a name for messages.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

type demandKey struct{ origin, service uint32 }

// demand is a Demand and when its origin stated it, by this daemon's clock.
type demand struct {
	WorkReport
	stated time.Time
}

// State is what one daemon knows of the others. It is not safe for concurrent
// use.
type State struct {
	self   string // address
	origin uint32
	seq    uint16

	demands map[demandKey]*demand
	loads   map[uint32]balancer.LoadReport
	// peers maps addresses to when they were heard last.
	peers map[string]time.Time
}

// NewState returns the state of a daemon that knows nobody. address is where
// it receives; start differs from that of the daemon's other starts.
func NewState(daemon, address, start string) *State {
	return &State{
		self: address, origin: Hash(daemon + " " + start),
		demands: make(map[demandKey]*demand),
		loads:   make(map[uint32]balancer.LoadReport),
		peers:   make(map[string]time.Time),
	}
}

// AddPeer names a peer that has not been heard yet.
func (s *State) AddPeer(address string, now time.Time) {
	if address == s.self || address == "" {
		return
	}
	if _, known := s.peers[address]; !known {
		s.peers[address] = now.Add(-peerLife)
	}
}

// SetWork sets the daemon's own demand for a service.
func (s *State) SetWork(now time.Time, service uint32, w balancer.Work) {
	s.seq++
	s.demands[demandKey{s.origin, service}] = &demand{
		WorkReport: WorkReport{
			Origin: s.origin, Seq: s.seq,
			Interactive: clamp(w.Interactive), Other: clamp(w.Other),
		},
		stated: now,
	}
}

func clamp(x float64) uint16 { return uint16(min(max(x, 0), math.MaxUint16)) }

// SetLoadReport takes the load that an upstream stated to this daemon.
func (s *State) SetLoadReport(upstream uint32, r balancer.LoadReport) {
	if old, known := s.loads[upstream]; !known || r.At.After(old.At) {
		s.loads[upstream] = r
	}
}

// Receive takes a message. It returns the loads that are newer than the known
// ones.
func (s *State) Receive(now time.Time, m *Message) map[uint32]balancer.LoadReport {
	if m.Sender != "" && m.Sender != s.self {
		s.peers[m.Sender] = now
	}
	for _, address := range m.Peers {
		s.AddPeer(address, now)
	}
	for _, service := range m.Services {
		for _, d := range unpackDemands(service.Reports) {
			s.receiveDemand(now, service.Name, d)
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

func (s *State) receiveDemand(now time.Time, service uint32, d WorkReport) {
	if d.Origin == s.origin {
		return
	}
	key := demandKey{d.Origin, service}
	if old := s.demands[key]; old != nil && !newer(d.Seq, old.Seq) {
		return
	}
	s.demands[key] = &demand{WorkReport: d, stated: now.Add(-time.Duration(d.Age) * ageUnit)}
}

// TotalWork returns the work that all daemons bring to a service, and the number
// of daemons that it counts.
func (s *State) TotalWork(now time.Time, service uint32) (balancer.Work, int) {
	var w balancer.Work
	n := 0
	for key, d := range s.demands {
		if key.service != service || now.Sub(d.stated) >= demandLife {
			continue
		}
		w.Interactive += float64(d.Interactive)
		w.Other += float64(d.Other)
		n++
	}
	return w, n
}

// Compose returns the next message: the newest demands and loads.
func (s *State) Compose(now time.Time, rng *rand.Rand) *Message {
	s.expire(now)
	m := &Message{Sender: s.self, Peers: s.somePeers(now, rng)}
	m.Services = s.newestDemands(now)
	for id, r := range s.loads {
		m.Loads = append(m.Loads, LoadReport{
			Upstream: id, Running: uint32(max(r.Running, 0)), Waiting: uint32(max(r.Waiting, 0)),
			Age: uint32(max(now.Sub(r.At), 0) / ageUnit),
		})
	}
	slices.SortFunc(m.Loads, func(a, b LoadReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream))
	})
	m.Loads = m.Loads[:min(len(m.Loads), maxLoads)]
	return m
}

// newestDemands returns the demands that were stated last. Older ones have
// reached other daemons already.
func (s *State) newestDemands(now time.Time) []ServiceWork {
	keys := make([]demandKey, 0, len(s.demands))
	for key := range s.demands {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b demandKey) int {
		return cmp.Or(
			s.demands[b].stated.Compare(s.demands[a].stated),
			cmp.Compare(a.service, b.service), cmp.Compare(a.origin, b.origin),
		)
	})
	var out []ServiceWork
	for _, key := range keys[:min(len(keys), maxDemands)] {
		i := slices.IndexFunc(out, func(one ServiceWork) bool { return one.Name == key.service })
		if i < 0 {
			i = len(out)
			out = append(out, ServiceWork{Name: key.service})
		}
		d := s.demands[key]
		d.Age = uint8(min(now.Sub(d.stated)/ageUnit, math.MaxUint8))
		out[i].Reports = append(out[i].Reports, packDemands([]WorkReport{d.WorkReport})...)
	}
	return out
}

func (s *State) expire(now time.Time) {
	for key, d := range s.demands {
		if now.Sub(d.stated) >= demandLife {
			delete(s.demands, key)
		}
	}
	for id, r := range s.loads {
		if now.Sub(r.At) >= loadLife {
			delete(s.loads, id)
		}
	}
	for address, heard := range s.peers {
		if now.Sub(heard) >= forgetPeer {
			delete(s.peers, address)
		}
	}
}

// Targets returns the addresses of random peers, at most n.
func (s *State) Targets(rng *rand.Rand, n int) []string {
	all := s.addresses(func(time.Time) bool { return true })
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), n)]
}

// somePeers returns a few peers that were heard lately.
func (s *State) somePeers(now time.Time, rng *rand.Rand) []string {
	all := s.heardLately(now)
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxPeers)]
}

// heardLately returns the peers that were heard lately, in a fixed order.
func (s *State) heardLately(now time.Time) []string {
	return s.addresses(func(heard time.Time) bool { return now.Sub(heard) < peerLife })
}

// addresses returns the peers that keep accepts, in a fixed order.
func (s *State) addresses(keep func(heard time.Time) bool) []string {
	var out []string
	for address, heard := range s.peers {
		if keep(heard) {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}
