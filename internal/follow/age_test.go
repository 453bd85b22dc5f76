package follow_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/follow"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// lateSource is a table without changes whose responses arrive late.
type lateSource struct{ delay time.Duration }

func (s lateSource) ReadPage(context.Context, string) (follow.Page, error) {
	time.Sleep(s.delay)
	return follow.Page{Rows: []ports.Row{{Key: "a", Version: 1}}, Version: 1}, nil
}

func (s lateSource) Changes(_ context.Context, _ ports.Version, wait time.Duration) ([]ports.Row, ports.Version, error) {
	time.Sleep(wait + s.delay)
	return nil, 1, nil
}

type nullSink struct{}

func (nullSink) Replace(time.Time, []ports.Row, ports.Version) {}
func (nullSink) Apply(time.Time, []ports.Row, ports.Version)   {}
func (nullSink) Lost(error, time.Time)                         {}
func (nullSink) Regained(time.Duration)                        {}

// Guards against a daemon that takes its copy for as new as the moment at which it has read
// the platform's answer, although that was under way for long, and announces it so.
func TestAgeCountsFromTheAnswer(t *testing.T) {
	const delay = 600 * time.Millisecond
	virtualtime.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var f *follow.Follower
		var ages []time.Duration
		f = follow.New(lateSource{delay}, nullSink{}, follow.Options{
			Rand: rand.New(rand.NewPCG(1, 1)), OnAnswer: func(time.Duration) { ages = append(ages, f.Age(time.Now())) },
		})
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(20 * time.Second)
		stop()
		assert.NilError(t, <-done)
		assert.Assert(t, len(ages) > 2)
		for _, age := range ages {
			assert.Check(t, age >= delay, "age %s right after an answer that was late by %s", age, delay)
		}
	})
}

// Guards against a reader whose knowledge gets too old for those that rely on it because it
// collects changes before its next call, which then waits as long as usual.
func TestWaitEndsInTimeAfterTheLastAnswer(t *testing.T) {
	const within = 900 * time.Millisecond
	virtualtime.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var slowest time.Duration
		source := &changingSource{}
		f := follow.New(source, nullSink{}, follow.Options{
			CoalesceDelay: 600 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1)),
			OnAnswer: func(since time.Duration) { slowest = max(slowest, since) },
		})
		f.SetWait(follow.Wait{Call: 2 * time.Second, SinceAnswer: within})
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(20 * time.Second)
		stop()
		assert.NilError(t, <-done)
		assert.Assert(t, source.calls > 10)
		assert.Check(t, slowest <= within, "%s between two answers", slowest)
		assert.Check(t, slowest > within/2, "%s between two answers: calls hardly wait", slowest)
	})
}

// changingSource is a table that has a change at every third call.
type changingSource struct {
	calls   int
	version ports.Version
}

func (s *changingSource) ReadPage(context.Context, string) (follow.Page, error) {
	s.version = 1
	return follow.Page{Rows: []ports.Row{{Key: "a", Version: 1}}, Version: 1}, nil
}

func (s *changingSource) Changes(ctx context.Context, _ ports.Version, wait time.Duration) ([]ports.Row, ports.Version, error) {
	if s.calls++; s.calls%3 == 0 {
		s.version++
		return []ports.Row{{Key: "a", Version: s.version}}, s.version, nil
	}
	select {
	case <-time.After(wait):
		return nil, s.version, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// overtakenSource is a table whose change reaches the copy by another way while a call waits
// for it.
type overtakenSource struct{ overtake func() }

func (*overtakenSource) ReadPage(context.Context, string) (follow.Page, error) {
	return follow.Page{Rows: []ports.Row{{Key: "a", Version: 1}}, Version: 1}, nil
}

func (s *overtakenSource) Changes(_ context.Context, after ports.Version, wait time.Duration) ([]ports.Row, ports.Version, error) {
	time.Sleep(wait)
	if after > 1 || wait == 0 {
		return nil, after, nil
	}
	s.overtake()
	return []ports.Row{{Key: "a", Version: 2}}, 2, nil
}

// Guards against a daemon on which others stop relying although the platform has answered it,
// because a peer's copy had brought the change before the answer did.
func TestOvertakenAnswerCounts(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var f *follow.Follower
		var overtaken atomic.Bool
		source := &overtakenSource{overtake: func() {
			overtaken.Store(f.OfferChanges(1, []ports.Row{{Key: "a", Version: 2}}, follow.Versions{AsOf: 2, Changed: 2}))
		}}
		f = follow.New(source, nullSink{}, follow.Options{
			Rand: rand.New(rand.NewPCG(1, 1)),
			OnAnswer: func(time.Duration) {
				assert.Check(t, f.Age(time.Now()) == 0, "age %s right after an answer", f.Age(time.Now()))
			},
		})
		done := make(chan error)
		go func() { done <- f.Run(ctx) }()
		time.Sleep(7 * time.Second)
		assert.Check(t, overtaken.Load())

		assert.Check(t, f.Age(time.Now()) > time.Second)
		assert.NilError(t, f.Confirm(ctx, time.Now()))
		assert.Check(t, f.Age(time.Now()) == 0, "age %s right after a confirmation", f.Age(time.Now()))
		stop()
		assert.NilError(t, <-done)
	})
}
