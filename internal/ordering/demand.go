package ordering

import (
	"cmp"
	"math"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/httproute"
)

const (
	// reportMaxAge is the age from which a load report is ignored. Streams last a few
	// seconds, so an older report says nothing about the present load.
	reportMaxAge = 3 * time.Second
	// minReportedShare is the share of the serving upstreams that must have a recent
	// report, and of the listed daemons that must have reported their work. Below it the
	// load is unknown. Gossip brings a daemon the reports of most upstreams, not of all.
	minReportedShare = 0.5
	// workPerUpstream is the work of an engine that is always busy, in milliseconds of
	// engine time per second.
	workPerUpstream = 1000.0
	// trendWindow is the time over which the growth of the demand is measured. Over a
	// shorter time, reports that vary look like growth.
	trendWindow = 3 * time.Second
	// reactionTime covers the delay of reports and the time until an order is sent.
	reactionTime = 2 * time.Second
	// burstTime is how long a burst lasts that is not worth an order, with the delay of the
	// moving average of work.
	burstTime = 4 * time.Second
	// maxForecast bounds the forecast, as a multiple of the present demand.
	maxForecast = 2.0
	// minHoldTime and holdStarts give the time for which the highest demand counts: the
	// longer of minHoldTime and holdStarts times the time that an upstream takes to
	// start.
	minHoldTime = 10 * time.Second
	holdStarts  = 3
)

// Upstream is what a daemon knows about one upstream.
type Upstream struct {
	Zone  domain.AvailabilityZone
	Slots int
	// Unlisted upstreams lost their registration a moment ago. They still count, but
	// nothing is given up while there are any.
	Unlisted bool
	// Running and Waiting are from the upstream's last load report, ReportAge ago.
	Running, Waiting int
	ReportAge        time.Duration
	// Reported is false for an upstream without a load report.
	Reported bool
}

// Work is the work that daemons send to a service.
type Work struct {
	// Milliseconds of engine time per second, the sum of the daemons that reported.
	Milliseconds float64
	// Reporting is the number of daemons in the sum, of Listed ones.
	Reporting, Listed int
}

// Input is what a daemon knows about one service.
type Input struct {
	Service string
	Scaling httproute.Scaling
	// Upstreams are those that take new requests. Draining, leaving and superseded ones
	// are left out.
	Upstreams []Upstream
	// Outdated means that the list of upstreams can't be read at the moment.
	Outdated bool
	// Work is nil for a service without engines, whose work is not measured.
	Work *Work
}

// reading is the demand for a service at one moment, in slots.
type reading struct {
	at       time.Time
	demand   float64
	forecast float64
	// lasting is the lowest demand of the last burst time and start time. A burst that is
	// over before new upstreams serve does not show in it.
	lasting float64
	// byLoad and byWork are the two estimates of which demand is the larger.
	byLoad, byWork float64
	// occupied is the number of running and waiting requests by zone.
	occupied map[domain.AvailabilityZone]float64
	serving  map[domain.AvailabilityZone]int
	unlisted int
	// slots is the mean number of slots of an upstream.
	slots float64
	// unknown says why the load is not known. Empty means that it is known.
	unknown string
}

// history holds the readings of the hold time.
type history struct {
	readings []reading
	// knownSince is when the load became known. Zero means that it is not known.
	knownSince time.Time
}

// holdTime returns how long the highest demand counts.
func holdTime(s httproute.Scaling) time.Duration {
	return max(minHoldTime, holdStarts*s.StartTime)
}

// observe adds a reading.
func (h *history) observe(now time.Time, in Input) reading {
	r := read(now, in)
	if r.unknown != "" {
		h.knownSince = time.Time{}
	} else {
		if h.knownSince.IsZero() {
			h.knownSince = now
		}
		r.forecast = h.forecast(r, in.Scaling.StartTime)
		r.lasting = h.lowest(r, in.Scaling.StartTime+burstTime).demand
	}
	first := 0
	for first < len(h.readings) && now.Sub(h.readings[first].at) >= holdTime(in.Scaling) {
		first++
	}
	h.readings = append(h.readings[first:], r)
	return r
}

// read estimates the demand. Each of the two estimates may be too low: reports lag, and
// the work of a request is an assumption. The larger one counts.
func read(now time.Time, in Input) reading {
	r := reading{
		at: now, occupied: make(map[domain.AvailabilityZone]float64), serving: make(map[domain.AvailabilityZone]int),
	}
	slots, reported := 0, 0
	fresh := make(map[domain.AvailabilityZone]int)
	for _, u := range in.Upstreams {
		slots += max(u.Slots, 1)
		r.serving[u.Zone]++
		if u.Unlisted {
			r.unlisted++
		}
		if u.Reported && u.ReportAge < reportMaxAge {
			reported++
			fresh[u.Zone]++
			r.occupied[u.Zone] += float64(u.Running + u.Waiting)
		}
	}
	n := len(in.Upstreams)
	switch {
	case in.Outdated:
		r.unknown = "the list of upstreams can't be read"
	case n == 0:
		r.unknown = "no upstream is listed"
	case float64(reported) < minReportedShare*float64(n) || reported == 0:
		r.unknown = "too few upstreams have a recent load report"
	case in.Work != nil && (in.Work.Reporting == 0 || float64(in.Work.Reporting) < minReportedShare*float64(in.Work.Listed)):
		r.unknown = "too few daemons have reported their work"
	}
	r.slots = float64(slots) / math.Max(float64(n), 1)
	if r.unknown != "" {
		return r
	}
	r.extrapolate(fresh, reported)
	if w := in.Work; w != nil {
		missing := math.Max(float64(w.Listed)/float64(w.Reporting), 1)
		r.byWork = w.Milliseconds * missing / workPerUpstream * r.slots
	}
	r.demand = math.Max(r.byLoad, r.byWork)
	return r
}

// extrapolate assumes the mean load for upstreams without a recent report: the mean of
// their zone, or of all zones if none in theirs has one.
func (r *reading) extrapolate(fresh map[domain.AvailabilityZone]int, reported int) {
	sum := 0.0
	for _, occupied := range r.occupied {
		sum += occupied
	}
	mean := sum / float64(reported)
	for zone, n := range r.serving {
		if fresh[zone] > 0 {
			r.occupied[zone] *= float64(n) / float64(fresh[zone])
		} else {
			r.occupied[zone] = mean * float64(n)
		}
	}
	for _, occupied := range r.occupied {
		r.byLoad += occupied
	}
}

// forecast returns the demand at the time when an upstream that is ordered now serves.
func (h *history) forecast(r reading, startTime time.Duration) float64 {
	growth := (r.demand - h.lowest(r, trendWindow).demand) / trendWindow.Seconds()
	return math.Min(r.demand+growth*(startTime+reactionTime).Seconds(), maxForecast*r.demand)
}

// lowest returns the reading with the lowest demand among r and those of a time before it.
func (h *history) lowest(r reading, within time.Duration) reading {
	lowest := r
	for _, old := range h.readings {
		if old.unknown == "" && r.at.Sub(old.at) <= within && old.demand < lowest.demand {
			lowest = old
		}
	}
	return lowest
}

// peak returns the highest forecast and the highest lasting demand of the hold time.
func (h *history) peak() (forecast, lasting float64) {
	for _, r := range h.readings {
		if r.unknown == "" {
			forecast, lasting = math.Max(forecast, r.forecast), math.Max(lasting, r.lasting)
		}
	}
	return forecast, lasting
}

// zonePeak returns the most requests at the upstreams of a zone in the hold time.
func (h *history) zonePeak(zone domain.AvailabilityZone) float64 {
	peak := 0.0
	for _, r := range h.readings {
		if r.unknown == "" {
			peak = math.Max(peak, r.occupied[zone])
		}
	}
	return peak
}

// steady reports whether the load has been known for the whole hold time.
func (h *history) steady(now time.Time, s httproute.Scaling) bool {
	return !h.knownSince.IsZero() && now.Sub(h.knownSince) >= holdTime(s)
}

// byPrice compares zones by price, and by name where it is the same.
func byPrice(a, b *zonePlan) int {
	return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.name, b.name))
}
