package balancer

import (
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/inventory"
)

const (
	// freshReportAge is the age up to which an upstream is not polled again. Engines
	// report values that are some hundred milliseconds old anyway.
	freshReportAge = 250 * time.Millisecond
	// polledUpstreams is the number of upstreams considered for polling for each
	// request.
	polledUpstreams = 2
	// loadWeight is the weight of one report in the typical load of a service.
	loadWeight = 0.05
	// queueingPressure is the share of load reports with waiting requests from which
	// a service counts as queueing. Below it, waits are too rare to be worth a poll.
	queueingPressure = 0.15
)

// typicalLoad is the moving average of the load reports of a service. It is used
// for upstreams without a recent report, so that an unknown load is not taken for
// zero.
type typicalLoad struct {
	// pressure is the share of reports that show waiting requests.
	pressure float64
	waiting  float64
	running  float64
}

func (t *typicalLoad) observe(l Load) {
	waits := 0.0
	if l.Waiting > 0 {
		waits = 1
	}
	t.pressure += (waits - t.pressure) * loadWeight
	t.waiting += (float64(l.Waiting) - t.waiting) * loadWeight
	t.running += (float64(l.Running) - t.running) * loadWeight
}

// PollTargets returns the upstreams to poll for their load before Pick: those of
// the polledUpstreams with the least cost whose load reports are older than
// freshReportAge. It returns none for a plain service, or while few requests wait
// at the service's engines.
func (b *Balancer) PollTargets(now time.Time, q Query) []inventory.Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[q.Service]
	if s == nil || q.Prompt.empty() || s.load.pressure < queueingPressure {
		return nil
	}
	var out []inventory.Entry
	q.Tried = slices.Clone(q.Tried)
	for range polledUpstreams {
		candidates := s.candidates(now, q)
		if len(candidates) == 0 {
			break
		}
		_, u := s.pick(now, q, candidates)
		if now.Sub(u.reportAt) > freshReportAge {
			out = append(out, u.Entry)
		}
		q.Tried = append(q.Tried, u.ID)
	}
	return out
}

// ObserveLoad records the response of an upstream to a poll.
func (b *Balancer) ObserveLoad(now time.Time, id domain.UpstreamID, load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.upstreams[id]; u != nil {
		b.recordReport(now, u, load)
	}
}

// recordReport applies a load report that this daemon received from an upstream
// itself, and queues it for the peers.
func (b *Balancer) recordReport(now time.Time, u *upstream, load Load) {
	b.applyReport(now, u, load)
	b.newReports[u.hash32()] = LoadReport{load, now}
}

func (b *Balancer) applyReport(now time.Time, u *upstream, load Load) {
	u.report, u.reportAt, u.inFlightAtReport, u.prefillAtReport = load, now, u.inFlight, u.prefillTokens
	if s := b.services[u.Service]; s != nil {
		s.load.observe(load)
		s.observeRampUpLoad(now, u, load)
	}
}
