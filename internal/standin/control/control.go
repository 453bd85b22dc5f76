// Package control is a stand-in for the daemon behind the administration API.
// It proposes to a real configuration log on a stand-in platform and puts each
// accepted revision in force at once.
package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/adminhttp"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
)

var _ adminhttp.Control = (*Control)(nil)

// Control is one stand-in daemon.
type Control struct {
	store    configlog.Store
	proposer *configlog.Proposer

	mu      sync.Mutex
	current administration.Snapshot
	drains  map[domain.UpstreamID]administration.Drain
	fleet   administration.Fleet
}

// New returns a daemon without a configuration.
func New(store configlog.Store) *Control {
	seed := func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }
	return &Control{
		store:    store,
		proposer: configlog.NewProposer(store, administration.Merger{}, seed),
		drains:   map[domain.UpstreamID]administration.Drain{},
	}
}

// SetFleet sets what Status answers, apart from the drains.
func (c *Control) SetFleet(f administration.Fleet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet = f
}

// Current implements adminhttp.Control.
func (c *Control) Current() (administration.Snapshot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.current.Revision > 0
}

// Revision implements adminhttp.Control.
func (c *Control) Revision(ctx context.Context, revision domain.Revision) (configlog.Document, error) {
	return configlog.ReadRevision(ctx, c.store, revision)
}

// History implements adminhttp.Control.
func (c *Control) History(ctx context.Context, last domain.Revision, limit int) ([]configlog.Record, error) {
	return configlog.History(ctx, c.store, last, limit)
}

// Propose implements adminhttp.Control.
func (c *Control) Propose(ctx context.Context, change configlog.Change) (configlog.Result, error) {
	result, err := c.proposer.Propose(ctx, change)
	if err != nil || !result.Accepted() {
		return result, err
	}
	accepted, err := c.Revision(ctx, result.Document.Revision)
	if err != nil {
		return result, err
	}
	name := fmt.Sprintf("revision-%d", accepted.Revision)
	d, p, list := policy.Load(accepted.Revision, policy.Source{Name: name, Data: accepted.Content})
	if err := list.Err(); err != nil {
		return result, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Revision > c.current.Revision {
		c.current = administration.Snapshot{Revision: p.Revision, Document: d, Policy: p}
	}
	return result, nil
}

// Drain implements adminhttp.Control. A drained upstream is releasable at once.
func (c *Control) Drain(_ context.Context, upstream domain.UpstreamID, draining bool) (administration.Drain, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !draining {
		delete(c.drains, upstream)
		return administration.Drain{Upstream: upstream, Phase: administration.PhaseServing}, nil
	}
	state := administration.Drain{Upstream: upstream, Phase: administration.PhaseReleasable, Since: time.Now()}
	c.drains[upstream] = state
	return state, nil
}

// Status implements adminhttp.Control.
func (c *Control) Status(context.Context) (administration.Fleet, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.fleet
	f.Time = time.Now()
	for _, d := range c.drains {
		f.Drains = append(f.Drains, d)
	}
	return f, nil
}

// Ready implements adminhttp.Control.
func (c *Control) Ready() (bool, string) {
	if _, ok := c.Current(); !ok {
		return false, "no configuration is in force"
	}
	return true, ""
}
