package recordtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/claims"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

var booking = claims.Key{Customer: "surf", Key: "booking-1"}

// ledger counts how often the upstream ran each key.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) run(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = map[string]int{}
	}
	l.runs[key]++
}

func (l *ledger) max() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		n = max(n, r)
	}
	return n
}

// fleet creates daemons that share a table and a ledger.
type fleet struct {
	t     *testing.T
	tab   *table
	gone  sync.Map // claims.Owner → true
	ledge ledger
	calls atomic.Int64
	seed  func() *rand.Rand
}

func newFleet(t *testing.T, tab *table) *fleet {
	return &fleet{t: t, tab: tab, seed: seeder(t)}
}

func (f *fleet) daemon(id string, committer claims.Committer) *claims.Claims {
	return claims.New(claims.Config{
		Table:     f.tab,
		Committer: committer,
		Owner:     func() claims.Owner { return claims.Owner{Daemon: domain.DaemonID(id), Incarnation: 1} },
		Gone:      func(o claims.Owner) bool { _, ok := f.gone.Load(o); return ok },
		Seed:      f.seed,
	})
}

func (f *fleet) request(key claims.Key, body string) claims.Request {
	return claims.Request{
		Key:    key,
		Digest: claims.DigestOf([]byte(body)),
		Call:   fmt.Sprint("call-", f.calls.Add(1)),
	}
}

// attempt is one call of a caller. It returns the verdict.
func (f *fleet) attempt(ctx context.Context, c *claims.Claims, key claims.Key) claims.Decision {
	d := c.Begin(ctx, f.request(key, "body"))
	if d.Verdict != claims.Granted {
		return d
	}
	if !d.Grant.MayDispatch(time.Now()) {
		_ = c.Finish(ctx, d.Grant, claims.StateNotRun, nil)
		return claims.Decision{Verdict: claims.Refused}
	}
	f.ledge.run(key.Key)
	_ = c.Finish(ctx, d.Grant, claims.StateRan, &claims.Answer{Status: 200, Body: []byte("booked")})
	return d
}

func closeAll(daemons ...*claims.Claims) {
	for _, d := range daemons {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		d.Close(ctx)
		cancel()
	}
}

// naive claims without reading again after a lost answer.
func naive(ctx context.Context, tab *table, key string) bool {
	for range 3 {
		if _, err := tab.Commit(ctx, ports.Write{Key: key}); err == nil {
			return true
		}
	}
	return false
}

// Shows the fault that the settlement by re-reading removes: after a lost
// answer, a naive caller takes its own claim for another's and answers that
// a call was not run although nobody will ever run it.
func TestNaiveClaimLosesCallAfterLostAnswer(t *testing.T) {
	tab := newTable()
	tab.plan = nth(0, lostAfter)
	assert.Assert(t, !naive(t.Context(), tab, "claim/surf/1"))

	f := newFleet(t, newTable())
	f.tab.plan = nth(0, lostAfter)
	a := f.daemon("a", nil)
	defer closeAll(a)
	assert.Equal(t, f.attempt(t.Context(), a, booking).Verdict, claims.Granted)
	assert.Equal(t, f.ledge.max(), 1)
}

// Guards against a second run and against a false "not run" when any call of
// begin or finish fails in any way and the caller retries through another
// daemon (I4, I5).
func TestClaimUnderEachFaultAtEachStep(t *testing.T) {
	for step := range 6 {
		for ft := none; ft < faultsCount; ft++ {
			t.Run(fmt.Sprintf("step %d fault %d", step, ft), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					f := newFleet(t, newTable())
					f.tab.plan = nth(step, ft)
					a, b := f.daemon("a", nil), f.daemon("b", nil)
					d := f.attempt(t.Context(), a, booking)
					ran := d.Verdict == claims.Granted
					assert.Equal(t, f.ledge.max() == 1, ran, "verdict %s", d.Verdict)
					time.Sleep(2 * lateness)
					closeAll(a)
					d = f.attempt(t.Context(), b, booking)
					if ran {
						assert.Equal(t, d.Verdict, claims.Replay)
						assert.Equal(t, string(d.Answer.Body), "booked")
					} else {
						assert.Assert(t, d.Verdict == claims.Granted || step > 0, "verdict %s", d.Verdict)
					}
					closeAll(b)
					assert.Assert(t, f.ledge.max() <= 1)
				})
			})
		}
	}
}

// Guards against a second run after the first daemon died before or after it
// dispatched, and against a "not run" that is not proved.
func TestClaimOfDeadDaemon(t *testing.T) {
	for _, reserve := range []bool{false, true} {
		f := newFleet(t, newTable())
		a, b := f.daemon("a", nil), f.daemon("b", nil)
		request := f.request(booking, "body")
		request.Reserve = reserve
		d := a.Begin(t.Context(), request)
		assert.Equal(t, d.Verdict, claims.Granted)
		assert.Equal(t, d.Grant.MayDispatch(time.Now()), !reserve)
		assert.Equal(t, f.attempt(t.Context(), b, booking).Verdict, claims.InProgress)

		f.gone.Store(claims.Owner{Daemon: "a", Incarnation: 1}, true)
		got := f.attempt(t.Context(), b, booking)
		if reserve {
			assert.Equal(t, got.Verdict, claims.Granted)
			// The daemon was only paused: it must not dispatch any more.
			assert.ErrorIs(t, a.Dispatch(t.Context(), d.Grant), claims.ErrLost)
			assert.Assert(t, !d.Grant.MayDispatch(time.Now()))
			assert.ErrorIs(t, a.Finish(t.Context(), d.Grant, claims.StateNotRun, nil), claims.ErrLost)
		} else {
			assert.Equal(t, got.Verdict, claims.SettledUnknown)
			// The daemon was only paused: its answer replaces "unknown".
			assert.NilError(t, a.Finish(t.Context(), d.Grant, claims.StateRan, &claims.Answer{Status: 201}))
			assert.Equal(t, f.attempt(t.Context(), b, booking).Answer.Status, 201)
		}
		closeAll(a, b)
	}
}

// Guards against a key that answers another request, against a run without a
// claim during an outage, and against a key that stays blocked after a call
// that was not run.
func TestClaimVerdicts(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, newTable())
		a := f.daemon("a", nil)
		d := a.Begin(t.Context(), f.request(booking, "body"))
		assert.Equal(t, a.Begin(t.Context(), f.request(booking, "other")).Verdict, claims.Mismatched)
		assert.NilError(t, a.Finish(t.Context(), d.Grant, claims.StateNotRun, nil))
		assert.Equal(t, f.attempt(t.Context(), a, booking).Verdict, claims.Granted)

		f.tab.setPlan(func(string) fault { return refused })
		other := claims.Key{Customer: "surf", Key: "2"}
		assert.Equal(t, f.attempt(t.Context(), a, other).Verdict, claims.Refused)
		time.AfterFunc(5*time.Second, func() { f.tab.setPlan(nil) })
		waiting := f.request(other, "body")
		waiting.WaitOutage = true
		d = a.Begin(t.Context(), waiting)
		assert.Equal(t, d.Verdict, claims.Granted)
		time.Sleep(11 * time.Second)
		assert.Assert(t, !d.Grant.MayDispatch(time.Now()), "a grant outlived its term")
		closeAll(a)
	})
}

// Guards against a key that stays blocked by a call that was refused while
// its claim was still under way.
func TestRefusedCallFreesItsKey(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, newTable())
		a, b := f.daemon("a", nil), f.daemon("b", nil)
		ctx, disconnect := context.WithCancel(t.Context())
		plan := nth(0, late)
		f.tab.plan = func(op string) fault {
			disconnect()
			return plan(op)
		}
		assert.Equal(t, a.Begin(ctx, f.request(booking, "body")).Verdict, claims.Refused)
		time.Sleep(2 * lateness)
		assert.Equal(t, f.attempt(t.Context(), b, booking).Verdict, claims.Granted)
		closeAll(a, b)
	})
}

// Guards against a second run when duplicates of many calls go through many
// daemons, directly or through a shared batcher, while the table misbehaves.
func TestRacingDuplicatesRunOnce(t *testing.T) {
	for _, batched := range []bool{false, true} {
		virtualtime.Test(t, func(t *testing.T) {
			f := newFleet(t, newTable())
			f.tab.latency = 2 * time.Millisecond
			rng := f.seed()
			f.tab.plan = func(string) fault {
				if rng.IntN(4) == 0 {
					return fault(rng.IntN(int(faultsCount)))
				}
				return none
			}
			ctx, stop := context.WithCancel(t.Context())
			var committer claims.Committer
			if batched {
				b := claims.NewBatcher(f.tab)
				committer = b
				go func() { _ = b.Run(ctx) }()
			}
			var daemons []*claims.Claims
			var wg sync.WaitGroup
			for i := range 5 {
				d := f.daemon(fmt.Sprint("d", i), committer)
				daemons = append(daemons, d)
				for k := range 40 {
					wg.Go(func() {
						f.attempt(t.Context(), d, claims.Key{Customer: "c", Key: fmt.Sprint(k)})
					})
				}
			}
			wg.Wait()
			closeAll(daemons...)
			assert.Equal(t, f.ledge.max(), 1)
			assert.Assert(t, batched || len(f.ledge.runs) > 30, "%d of 40 keys ran", len(f.ledge.runs))
			stop()
			synctest.Wait()
		})
	}
}

// Guards against rows that are kept for ever, and against a sweep that turns
// a call which may have run into one that may run again.
func TestSweepKeepsWhatMayHaveRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, newTable())
		a, b := f.daemon("a", nil), f.daemon("b", nil)
		for k := range 1200 {
			f.attempt(t.Context(), b, claims.Key{Customer: "done", Key: fmt.Sprint(k)})
		}
		f.ledge.run(booking.Key) // a dispatches and dies
		assert.Equal(t, a.Begin(t.Context(), f.request(booking, "body")).Verdict, claims.Granted)
		f.gone.Store(claims.Owner{Daemon: "a", Incarnation: 1}, true)
		sweeper := claims.NewSweeper(f.tab, func(o claims.Owner) bool { return o.Daemon == "a" }, claims.Limits{})
		sweep := func() (total int) {
			for {
				n, last, err := sweeper.Step(t.Context())
				assert.NilError(t, err)
				total += n
				if last {
					return total
				}
			}
		}
		time.Sleep(23 * time.Hour)
		assert.Equal(t, sweep(), 1)
		time.Sleep(2 * time.Hour)
		assert.Equal(t, f.attempt(t.Context(), b, booking).Verdict, claims.SettledUnknown)
		assert.Equal(t, sweep(), 1200)
		assert.Equal(t, len(f.tab.rows), 1)
		closeAll(a, b)
	})
}
