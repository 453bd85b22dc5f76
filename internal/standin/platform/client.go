package platform

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

var _ ports.Platform = (*Client)(nil)

// Kind names the kind of a recorded operation.
type Kind string

const (
	KindGet    Kind = "get"
	KindScan   Kind = "scan"
	KindCommit Kind = "commit"
)

// Operation is one finished table call, for linearizability checks.
type Operation struct {
	Client string
	Kind   Kind
	Call   time.Time
	Return time.Time
	Keys   []string
	Prefix string
	Writes []ports.Write
	Rows   []ports.Row
	// Version is the version of a successful commit.
	Version ports.Version
	// Err is what an in-process caller saw. The effect of a commit with
	// ports.ErrUnknownOutcome is open. A caller over HTTP may know less, for
	// example after its own timeout.
	Err error
}

// Record calls f after each table call through a Client or over HTTP. Nil
// stops the recording.
func (p *Platform) Record(f func(Operation)) {
	if f == nil {
		p.record.Store(nil)
		return
	}
	p.record.Store(&f)
}

// Client is in-process access to the platform under a client name.
type Client struct {
	platform *Platform
	name     string
}

// Client returns access for a named client.
func (p *Platform) Client(name string) *Client {
	return &Client{platform: p, name: name}
}

// access describes one call to a service.
type access struct {
	service Service
	write   bool
	limit   *rate.Limiter
}

// do runs effect under the platform's lock, with latency, limits and faults
// around it. A write whose fate the caller cannot know fails with
// ports.ErrUnknownOutcome. A write that is on its way when its caller gives up
// takes effect later, so effect must not share memory with the caller unless
// do succeeds.
func (c *Client) do(ctx context.Context, a access, effect func() error) error {
	p := c.platform
	faults := p.Faults()
	if slices.Contains(faults.Unreachable, c.name) {
		_ = sleep(ctx, p.cfg.UnreachableAfter)
		return interrupted(a, "platform unreachable")
	}
	half := (p.cfg.Latency + faults.slowness(a.service)) / 2
	arrival := time.Now().Add(half)
	if sleep(ctx, half) != nil {
		if a.write {
			time.AfterFunc(time.Until(arrival), func() { _, _ = p.apply(a, effect) })
		}
		return interrupted(a, "request timed out")
	}
	lost, err := p.apply(a, effect)
	if err != nil {
		return err
	}
	if lost {
		return fmt.Errorf("%w: answer lost", ports.ErrUnknownOutcome)
	}
	if sleep(ctx, half) != nil {
		return interrupted(a, "answer timed out")
	}
	return nil
}

func (p *Platform) apply(a access, effect func() error) (lost bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.Faults()
	if slices.Contains(faults.Down, a.service) {
		p.counters.Refused++
		return false, fmt.Errorf("%w: %s is down", ports.ErrUnavailable, a.service)
	}
	if faults.ThrottleAll || !a.limit.Allow() {
		p.counters.Throttled++
		return false, fmt.Errorf("%w: %s", ports.ErrThrottled, a.service)
	}
	if a.write {
		p.counters.Writes++
	} else {
		p.counters.Reads++
	}
	if err := effect(); err != nil {
		return false, err
	}
	return a.write && p.loseAnswerLocked(), nil
}

// interrupted is the error of a call that did not end in time. Reads have no
// effect, so their outcome is never unknown.
func interrupted(a access, cause string) error {
	if a.write {
		return fmt.Errorf("%w: %s", ports.ErrUnknownOutcome, cause)
	}
	return fmt.Errorf("%w: %s", ports.ErrUnavailable, cause)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) observe(op Operation) {
	if f := c.platform.record.Load(); f != nil {
		op.Client = c.name
		op.Return = time.Now()
		(*f)(op)
	}
}

// Get implements ports.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	op := Operation{Kind: KindGet, Call: time.Now(), Keys: keys}
	p := c.platform
	op.Err = c.do(ctx, access{ServiceTable, false, p.limits.read}, func() error {
		op.Rows = p.table.get(keys)
		return nil
	})
	if op.Err != nil {
		op.Rows = nil
	}
	c.observe(op)
	return op.Rows, op.Err
}

// Scan implements ports.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int, since ports.Version) ([]ports.Row, error) {
	op := Operation{Kind: KindScan, Call: time.Now(), Prefix: prefix}
	p := c.platform
	op.Err = c.do(ctx, access{ServiceTable, false, p.limits.read}, func() error {
		op.Rows = p.table.scan(prefix, after, limit, since)
		return nil
	})
	if op.Err != nil {
		op.Rows = nil
	}
	c.observe(op)
	return op.Rows, op.Err
}

// Commit implements ports.Table.
func (c *Client) Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error) {
	writes = cloneWrites(writes)
	op := Operation{Kind: KindCommit, Call: time.Now(), Writes: writes}
	p := c.platform
	var version ports.Version
	op.Err = c.do(ctx, access{ServiceTable, true, p.limits.write}, func() (err error) {
		version, err = p.table.commit(writes)
		if err != nil {
			p.counters.Conflicts++
		}
		return err
	})
	if op.Err == nil {
		op.Version = version
	}
	c.observe(op)
	return op.Version, op.Err
}

// cloneWrites protects a write that takes effect late from its caller.
func cloneWrites(writes []ports.Write) []ports.Write {
	out := slices.Clone(writes)
	for i := range out {
		out[i].Value = bytes.Clone(out[i].Value)
	}
	return out
}

// Put implements ports.Objects.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	data = bytes.Clone(data)
	p := c.platform
	return c.do(ctx, access{ServiceObjects, true, p.limits.write}, func() error {
		return p.put(name, data)
	})
}

// Read implements ports.Objects.
func (c *Client) Read(ctx context.Context, name string) ([]byte, error) {
	p := c.platform
	var out []byte
	err := c.do(ctx, access{ServiceObjects, false, p.limits.read}, func() error {
		data, ok := p.objects[name]
		if !ok {
			return fmt.Errorf("%w: object %s", ports.ErrNotFound, name)
		}
		out = bytes.Clone(data)
		return nil
	})
	return out, err
}

// VMs implements ports.VMList.
func (c *Client) VMs(ctx context.Context) ([]domain.VM, error) {
	p := c.platform
	var out []domain.VM
	err := c.do(ctx, access{ServiceVMs, false, p.limits.read}, func() error {
		out = p.listVMs()
		return nil
	})
	return out, err
}

// Size implements ports.WeightStore.
func (c *Client) Size(ctx context.Context, artefact string) (int64, error) {
	p := c.platform
	var out int64
	err := c.do(ctx, access{ServiceWeights, false, p.limits.weight}, func() error {
		size, ok := p.weights[artefact]
		if !ok {
			return fmt.Errorf("%w: artefact %s", ports.ErrNotFound, artefact)
		}
		out = size
		return nil
	})
	return out, err
}
