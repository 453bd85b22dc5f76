package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/inventory"
)

// Guards against requests of a large fleet that reach upstreams within their pauses, and
// against requests that are refused although other upstreams are free.
func TestLargeFleetKeepsPauses(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 6 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) { testLargeFleetKeepsPauses(t, pause) })
	}
}

// testLargeFleetKeepsPauses lets each third of the upstreams pause in turn.
func testLargeFleetKeepsPauses(t *testing.T, pause time.Duration) {
	const (
		daemons, upstreams = 295, 320

		step          = 10 * time.Millisecond
		requestsAStep = 9
		// roundTrip is the time from a request to the header of its response.
		roundTrip = 24 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(7, 7))
	now := time.Unix(0, 0)
	var entries []inventory.Entry
	index := make(map[domain.UpstreamID]int)
	for i := range upstreams {
		id := domain.UpstreamID(fmt.Sprintf("u%d", i))
		index[id] = i
		entries = append(entries, inventory.Entry{Registration: inventory.Registration{
			ID: id, Service: "model", Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Slots: 12,
		}})
	}
	fleet := make([]*Balancer, daemons)
	for i := range fleet {
		fleet[i] = New(Site{})
		fleet[i].Update(now, entries, func(string) Engine { return Engine{} })
	}
	type pair struct{ daemon, upstream int }
	type span struct{ from, to time.Time }
	pauses := make(map[pair]span) // the last one that the upstream asked of the daemon
	arrivals, within, refused := 0, 0, 0
	send := func(daemon int, at time.Time, pausing int, pauseLeft time.Duration) {
		query := Query{Service: "model"}
		for {
			choice, ok := fleet[daemon].Pick(at, query)
			if !ok {
				refused++
				return
			}
			key := pair{daemon, index[choice.Upstream.ID]}
			arrivals++
			if p := pauses[key]; at.After(p.from) && at.Before(p.to) {
				within++
			}
			answered := at.Add(roundTrip)
			if key.upstream%3 != pausing {
				choice.Reservation().ObserveAvailability(answered, Availability{})
				choice.Reservation().Done(answered, OK)
				return
			}
			pauses[key] = span{answered, answered.Add(pauseLeft)}
			choice.Reservation().ObserveAvailability(answered, Availability{Pause: pauseLeft})
			choice.Reservation().Done(answered, Refused)
			query.Tried = append(query.Tried, choice.Upstream.ID)
		}
	}
	pauseSteps := int(pause / step)
	for n := range 3 * pauseSteps {
		left := time.Duration(pauseSteps-n%pauseSteps) * step
		for range requestsAStep {
			send(rng.IntN(daemons), now.Add(time.Duration(rng.Int64N(int64(step)))), n/pauseSteps%3, left)
		}
		now = now.Add(step)
	}
	t.Logf("%d arrivals, %d within a pause, %d requests refused", arrivals, within, refused)
	assert.Equal(t, within, 0)
	assert.Equal(t, refused, 0)
}
