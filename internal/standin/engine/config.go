package engine

import (
	"cmp"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Config sets up an Engine. Zero values take the defaults given with each
// field.
type Config struct {
	ID domain.UpstreamID
	// Models that the engine holds at first. Empty means any model.
	Models   []string
	Adapters []string
	// Role defaults to domain.RoleBoth.
	Role domain.Role
	// Slots is the largest batch. Default 16.
	Slots int
	// QueueLimit bounds the waiting requests. Default 32; negative means none
	// may wait.
	QueueLimit int
	// BaseInterval is the time per token of a batch of zero. Default 20 ms.
	BaseInterval time.Duration
	// IntervalSlope is added per request in the batch. Default 1 ms.
	IntervalSlope time.Duration
	// PrefillPerToken is the time per prompt token that the prefix cache does
	// not hold. Default 200 µs.
	PrefillPerToken time.Duration
	// Speed divides all simulated times. Default 1.
	Speed float64
	// BlockBytes is the length of a prefix cache block. Default 256.
	BlockBytes int
	// CacheBlocks is the capacity of the prefix cache. Default 4096.
	CacheBlocks int
	// LoadLag is how old a load report is. Default 0.
	LoadLag time.Duration
	// LoadLoss is the share of load reports that are answered with an error.
	LoadLoss float64
	// CacheLag is how late cache events appear. Default 0.
	CacheLag time.Duration
	// CacheLoss is the share of cache events that never appear.
	CacheLoss float64
	// ChecksFencing makes the engine reject orders with an old token.
	ChecksFencing bool
	// OrderDelay is the time until an order's content is in place.
	OrderDelay time.Duration
	// Preempt lets a more urgent request displace the least urgent running
	// one, which returns to the queue.
	Preempt bool
	// OrphanTime is how long an attempt runs on without a connection before
	// it is abandoned. Default 5 s.
	OrphanTime time.Duration
	// Retain is the number of ended attempts that can be resumed. Default 4096.
	Retain int
	// Seed seeds the losses. Default 0.
	Seed uint64
}

func (c Config) withDefaults() Config {
	c.Role = cmp.Or(c.Role, domain.RoleBoth)
	c.Slots = cmp.Or(c.Slots, 16)
	c.QueueLimit = cmp.Or(c.QueueLimit, 32)
	c.BaseInterval = cmp.Or(c.BaseInterval, 20*time.Millisecond)
	c.IntervalSlope = cmp.Or(c.IntervalSlope, time.Millisecond)
	c.PrefillPerToken = cmp.Or(c.PrefillPerToken, 200*time.Microsecond)
	c.Speed = cmp.Or(c.Speed, 1)
	c.BlockBytes = cmp.Or(c.BlockBytes, 256)
	c.CacheBlocks = cmp.Or(c.CacheBlocks, 4096)
	c.OrphanTime = cmp.Or(c.OrphanTime, 5*time.Second)
	c.Retain = cmp.Or(c.Retain, 4096)
	return c
}
