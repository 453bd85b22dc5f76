package capacity

import "time"

// Size is the size of a fleet.
type Size struct {
	Name      string
	Daemons   int
	Upstreams int
	Customers int
	Tiers     int
	Models    int
	Regions   int
	Zones     int
	// RequestsPerSecond and TokensPerSecond are the fleet's peak load.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration
	ChangesPerDay float64
	// RestartsPerDay counts restarted and replaced VMs; FailuresPerDay those
	// that failed.
	RestartsPerDay float64
	FailuresPerDay float64
}

const secondsPerDay = 86400

// Planned returns the planned size (docs/design.md, section 4).
func Planned() Size {
	return Size{
		Name: "planned", Daemons: 330, Upstreams: 2500, Customers: 2000, Tiers: 8, Models: 6, Regions: 3, Zones: 7,
		RequestsPerSecond: 2600, TokensPerSecond: 990_000, TokenInterval: 58 * time.Millisecond,
		ChangesPerDay: 1400, RestartsPerDay: 220, FailuresPerDay: 21,
	}
}

// Today returns the size of a current deployment (docs/design.md, section 1)
// at the load per replica of the planned size.
func Today() Size {
	s := Planned()
	share := 15.0 / float64(s.Upstreams)
	s.Name = "today"
	s.Daemons, s.Upstreams, s.Customers, s.Models, s.Zones = 8, 15, 10, 2, 3
	s.RequestsPerSecond *= share
	s.TokensPerSecond *= share
	s.ChangesPerDay, s.RestartsPerDay, s.FailuresPerDay = 50, 8, 1
	return s
}

// Streams is the number of streams in progress in the fleet by Little's law:
// each advances by one token per interval.
func (s Size) Streams() float64 { return s.TokensPerSecond * s.TokenInterval.Seconds() }

// StreamsPerDaemon is the number of streams in progress on one daemon.
func (s Size) StreamsPerDaemon() float64 { return s.Streams() / float64(s.Daemons) }

// StreamsPerUpstream is the number of streams in progress on one replica.
func (s Size) StreamsPerUpstream() float64 { return s.Streams() / float64(s.Upstreams) }

// EventsPerDaemon is the number of token events per second on one daemon.
func (s Size) EventsPerDaemon() float64 { return s.TokensPerSecond / float64(s.Daemons) }

// RequestsPerDaemon is the number of requests per second on one daemon.
func (s Size) RequestsPerDaemon() float64 { return s.RequestsPerSecond / float64(s.Daemons) }

// TokensPerRequest is the mean answer length.
func (s Size) TokensPerRequest() float64 { return s.TokensPerSecond / s.RequestsPerSecond }

// DaemonsPerZone is the number of daemons that end with a zone.
func (s Size) DaemonsPerZone() float64 { return float64(s.Daemons) / float64(s.Zones) }

// The subset sizes of internal/daemon: for each model, a daemon uses so many
// upstreams of its own region and of each other region.
const (
	localSubset  = 8
	remoteSubset = 2
)

// poolSize is the number of upstreams of one model in one region.
func (s Size) poolSize() float64 { return float64(s.Upstreams) / float64(s.Models*s.Regions) }

// ModelSubset is the number of upstreams of one model that a daemon uses.
func (s Size) ModelSubset() float64 {
	pool := s.poolSize()
	return min(localSubset, pool) + float64(s.Regions-1)*min(remoteSubset, pool)
}

// SubsetSize is the number of upstreams that a daemon uses.
func (s Size) SubsetSize() float64 { return float64(s.Models) * s.ModelSubset() }

// Sharers is the mean number of daemons that use an upstream.
func (s Size) Sharers() float64 { return float64(s.Daemons) * s.SubsetSize() / float64(s.Upstreams) }

// Limits of docs/design.md, sections 3, 4 and 11.
const (
	limitControlCPU   = 2.4        // percent of a core for each daemon
	limitControlBytes = 3 << 10    // bytes per second for each daemon
	limitMemory       = 256 << 20  // bytes for each daemon
	limitRelayCPU     = 20         // percent of a core at 3,000 token events/s
	limitAddedLatency = 1.0        // ms, p99
	limitDecision     = 10.0       // µs at 32 candidates
	limitWrites       = 300        // per second; "several hundred"
	limitReads        = 2000       // per second
	limitPropagation  = 3 * 1000.0 // ms
)
