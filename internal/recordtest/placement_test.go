package recordtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/lease"
	"github.com/auburndyke/auburndyke/internal/placement"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// lateEngine obeys each order after a delay, whether or not the sender still
// waits, and may check fencing tokens.
type lateEngine struct {
	mu      sync.Mutex
	held    ports.Order
	checks  bool
	highest domain.FencingToken
	delay   map[domain.FencingToken]time.Duration
	tokens  []domain.FencingToken
}

func (e *lateEngine) Order(ctx context.Context, o ports.Order) error {
	e.mu.Lock()
	delay := e.delay[o.Fencing]
	e.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { _ = e.apply(o) })
		<-ctx.Done()
		return ctx.Err()
	}
	return e.apply(o)
}

func (e *lateEngine) apply(o ports.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && o.Fencing < e.highest {
		return ports.ErrStaleFencingToken
	}
	e.highest = max(e.highest, o.Fencing)
	e.tokens = append(e.tokens, o.Fencing)
	e.held = o
	return nil
}

func (e *lateEngine) report() ports.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ports.LoadReport{
		Upstream: "u1", Models: e.held.Models, Adapters: e.held.Adapters, Role: e.held.Role, AppliedOrder: e.held.ID,
	}
}

// partitioned is a table that one daemon can be cut off from.
type partitioned struct {
	*table
	cut func() bool
}

func (p partitioned) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	if p.cut() {
		return nil, ports.ErrUnavailable
	}
	return p.table.Get(ctx, keys...)
}

func (p partitioned) Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error) {
	if p.cut() {
		return 0, ports.ErrUnavailable
	}
	return p.table.Commit(ctx, writes...)
}

// Guards against an order of a replaced director that stands: an engine that
// checks tokens refuses it, another one is repaired.
func TestLateOrderOfReplacedDirector(t *testing.T) {
	for _, checks := range []bool{true, false} {
		virtualtime.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			base := placement.Content{Models: []string{"m"}, Role: domain.RoleBoth}
			engine := &lateEngine{
				held:   ports.Order{Models: base.Models, Role: base.Role},
				checks: checks,
				// The first director's orders arrive after its successor's.
				delay: map[domain.FencingToken]time.Duration{1: 90 * time.Second},
			}
			tab := newTable()
			start := time.Now()
			need := func(name string) placement.Demand {
				return placement.Demand{
					Class: domain.ClassID(name), Artefact: placement.Artefact{Name: name, Adapter: true, Model: "m"},
					Upstreams: []domain.UpstreamID{"u1"}, Waiting: 10,
				}
			}
			for i := range 2 {
				cut := func() bool { return i == 0 && time.Since(start) > 20*time.Second }
				view := partitioned{tab, cut}
				owner := lease.Owner{Daemon: domain.DaemonID(fmt.Sprint(i)), Incarnation: 1}
				holder := lease.NewHolder(view, lease.Config{Name: "placement/leinster", Owner: owner}, rand.New(rand.NewPCG(1, uint64(i))), lease.Hooks{})
				d := placement.NewDirector(view, holder, placement.Config{Region: "leinster", Settle: time.Minute},
					func(domain.UpstreamID) (placement.Orderer, bool) { return engine, true }, nil)
				if i == 1 {
					time.Sleep(time.Second) // the first one acquires the lease
				}
				go func() { _ = holder.Run(ctx) }()
				go func() { _ = d.Run(ctx) }()
				go func() {
					d.Post(ctx, placement.Configured{Upstreams: []placement.Upstream{{
						ID: "u1", Base: base, Allowed: []string{"a", "b"}, MaxAdapters: 2,
					}}})
					for ctx.Err() == nil {
						d.Post(ctx, placement.Reported{Report: engine.report()})
						demand := []placement.Demand{need("a")}
						if i == 1 && time.Since(start) > 30*time.Second {
							demand = append(demand, need("b"))
						}
						d.Post(ctx, placement.DemandSeen{Demand: demand})
						time.Sleep(time.Second)
					}
				}()
			}
			time.Sleep(4 * time.Minute)
			engine.mu.Lock()
			assert.DeepEqual(t, engine.held.Adapters, []string{"a", "b"})
			assert.Equal(t, engine.held.Fencing, domain.FencingToken(2))
			first := slices.Index(engine.tokens, 2)
			late := slices.Contains(engine.tokens[first:], 1)
			assert.Equal(t, late, !checks, "tokens %v", engine.tokens)
			engine.mu.Unlock()
			stop()
			time.Sleep(2 * time.Minute)
		})
	}
}
