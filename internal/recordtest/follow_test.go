package recordtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/lease"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// follow runs watchers until the test ends and fails when one goes back.
func follow(ctx context.Context, t *testing.T, tab *table, count int) []*configlog.Watcher {
	watchers := make([]*configlog.Watcher, count)
	for i := range watchers {
		last := domain.Revision(0)
		w := configlog.NewWatcher(tab, domain.DaemonID(fmt.Sprint(i)), "leinster", rand.New(rand.NewPCG(seed(t), uint64(i))), configlog.Hooks{
			Enforce: func(d configlog.Document) {
				assert.Assert(t, d.Revision > last, "revision %d after %d", d.Revision, last)
				assert.NilError(t, d.Verify())
				last = d.Revision
			},
		})
		watchers[i] = w
		go func() { _ = w.Run(ctx) }()
	}
	return watchers
}

// Guards against a daemon that stays behind, goes back or takes damaged
// content when any one call of its polls and reads fails in any way (I8).
func TestFollowUnderEachFaultAtEachStep(t *testing.T) {
	for step := range 6 {
		for f := none; f < faultsCount; f++ {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				tab := newTable()
				p := configlog.NewProposer(tab, nil, seeder(t))
				doc := strings.Repeat("line\n", 2000)
				_, err := p.Propose(t.Context(), change("1", 0, doc))
				assert.NilError(t, err)
				tab.setPlan(nth(step, f))
				w := follow(ctx, t, tab, 1)[0]
				time.Sleep(20 * time.Second)
				// One change by delta, then two at once, the second too large
				// for a delta.
				for n, content := range []string{doc + "a\n", doc, doc + doc} {
					_, err := p.Propose(t.Context(), change(fmt.Sprint(n+2), domain.Revision(n+1), content))
					assert.NilError(t, err)
					if n == 1 {
						continue
					}
					time.Sleep(3 * time.Second)
					assert.Equal(t, w.InForce().Revision, domain.Revision(n+2))
					assert.Equal(t, string(w.InForce().Content), content)
				}
				assert.Assert(t, w.Readiness().Ready)
				stop()
				synctest.Wait()
			})
		}
	}
}

// Guards against hundreds of daemons that return to the table in the same
// moment after an outage. Naive followers poll each second on the second.
func TestReturnAfterOutageIsSpread(t *testing.T) {
	const daemons = 330
	virtualtime.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		tab := newTable()
		var mu sync.Mutex
		polls := map[time.Duration]int{}
		start := time.Now()
		down := true
		tab.setPlan(func(string) fault {
			mu.Lock()
			defer mu.Unlock()
			polls[time.Since(start)/(100*time.Millisecond)]++
			if down {
				return refused
			}
			return none
		})
		follow(ctx, t, tab, daemons)
		time.Sleep(time.Minute)
		mu.Lock()
		down = false
		busiest, total := 0, 0
		for at, n := range polls {
			if at > 100 { // the first ten seconds still carry the common start
				busiest = max(busiest, n)
				total += n
			}
		}
		mu.Unlock()
		t.Logf("outage: busiest 100 ms has %d of %d polls; mean %.1f", busiest, daemons, float64(total)/500)
		assert.Assert(t, busiest < daemons/10)
		stop()
		synctest.Wait()
	})
}

// Guards against revisions that miss the table: a peer's revision is taken
// when its digest holds, a lower or damaged one is not.
func TestRevisionsFromPeersDuringOutage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		tab := newTable()
		tab.setPlan(func(string) fault { return refused })
		w := follow(ctx, t, tab, 1)[0]
		doc := func(r domain.Revision, text string) configlog.Document {
			return configlog.Document{Revision: r, Digest: configlog.DigestOf([]byte(text)), Content: []byte(text)}
		}
		w.Offer(ctx, "peer", doc(7, "seven"))
		damaged := doc(8, "eight")
		damaged.Content = []byte("damaged")
		w.Offer(ctx, "peer", damaged)
		w.Offer(ctx, "peer", doc(6, "six"))
		time.Sleep(time.Second)
		assert.Equal(t, string(w.InForce().Content), "seven")
		assert.Assert(t, !w.Readiness().Ready)

		roster := []domain.DaemonID{"0", "p1", "p2", "p3"}
		answer := configlog.PeerAnswer{Peer: "p1", Region: "leinster", Ready: true, Revision: 9, Roster: roster}
		w.PeerAnswered(ctx, answer)
		time.Sleep(time.Second)
		assert.Equal(t, w.Readiness().Reason, "platform unavailable and 1 of 3 live daemons of the region have answered")
		answer.Peer = "p2"
		answer.Region = "munster" // another region does not count
		w.PeerAnswered(ctx, answer)
		answer.Peer, answer.Region, answer.Ready = "p3", "leinster", false // nor does an unready peer
		w.PeerAnswered(ctx, answer)
		time.Sleep(time.Second)
		assert.Equal(t, w.Readiness().Reason, "platform unavailable and 1 of 3 live daemons of the region have answered")
		answer.Ready = true
		w.PeerAnswered(ctx, answer)
		time.Sleep(time.Second)
		assert.Equal(t, w.Readiness().Reason, "revision 9 has not been read from a peer yet")
		w.Offer(ctx, "p1", doc(9, "nine"))
		time.Sleep(time.Second)
		assert.Assert(t, w.Readiness().Ready, w.Readiness().Reason)
		stop()
		synctest.Wait()
	})
}

// Guards against two daemons that send an order at once, and against a lease
// that stays free, when any call of the holder fails in any way.
func TestLeaseUnderEachFaultAtEachStep(t *testing.T) {
	for step := range 6 {
		for f := none; f < faultsCount; f++ {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				tab := newTable()
				tab.setPlan(nth(step, f))
				var holders [2]*lease.Holder
				for i := range holders {
					owner := lease.Owner{Daemon: domain.DaemonID(fmt.Sprint(i)), Incarnation: 1}
					holders[i] = lease.NewHolder(ports.Table(tab), lease.Config{Name: "x", Owner: owner}, rand.New(rand.NewPCG(1, uint64(i))), lease.Hooks{})
					go func() { _ = holders[i].Run(ctx) }()
				}
				held := 0
				for range 600 { // one minute
					time.Sleep(100 * time.Millisecond)
					now := time.Now()
					assert.Assert(t, !holders[0].Held(now) || !holders[1].Held(now))
					if holders[0].Held(now) || holders[1].Held(now) {
						held++
					}
				}
				assert.Assert(t, held > 350, "step %d fault %d: held %d of 600", step, f, held)
				stop()
				time.Sleep(3 * time.Second)
			})
		}
	}
}
