package pacing

import (
	"context"
	"sync"
	"time"
)

// Outcome tells how a wait ended.
type Outcome uint8

const (
	// Started means that the request may be sent.
	Started Outcome = iota
	// Expired means that it is too late to start the request.
	Expired
	// Left means that the caller no longer waits.
	Left
)

// Pacer lets goroutines wait in the queues of services. It is safe for
// concurrent use.
type Pacer struct {
	mu     sync.Mutex
	queues map[string]*paced
}

type paced struct {
	queue   Queue
	pace    Pace
	control Controller
	waiters map[*Request]chan Outcome
	timer   *time.Timer
}

// NewPacer returns a Pacer in which nothing waits until SetRate is called.
func NewPacer() *Pacer { return &Pacer{queues: make(map[string]*paced)} }

func (p *Pacer) service(name string) *paced {
	s := p.queues[name]
	if s == nil {
		s = &paced{waiters: make(map[*Request]chan Outcome)}
		p.queues[name] = s
	}
	return s
}

// SetRate sets the engine time per second that may start at a service, in
// milliseconds. A negative rate means no limit.
func (p *Pacer) SetRate(service string, rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	now := time.Now()
	if rate < 0 {
		s.queue.SetUnlimited(now)
	} else {
		s.queue.SetRate(now, rate)
	}
	p.start(s)
}

// Event takes the time between two events of a running stream.
func (p *Pacer) Event(service, route string, gap, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).pace.Event(time.Now(), route, gap, wait)
}

// Ended takes the length of a complete answer, in events.
func (p *Pacer) Ended(service, route string, events int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(service).pace.Ended(route, events)
}

// Slowness returns how slow this daemon's streams of a service are, and the
// number of events behind it.
func (p *Pacer) Slowness(service string) (mean, events float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).pace.Slowness(time.Now())
}

// Control takes the slowness of all daemons' streams and returns the factor
// for Rate.
func (p *Pacer) Control(service string, slowness float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	s.control.Update(time.Now(), slowness)
	return s.control.Factor()
}

// Backlog returns the engine time that waits at a service, in milliseconds.
func (p *Pacer) Backlog(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).queue.Backlog()
}

// Wait blocks until the request may start, or ctx ends. It returns the time
// that a request of its rank would wait now as well, for the caller's return.
func (p *Pacer) Wait(ctx context.Context, service string, r *Request) (Outcome, time.Duration) {
	done := make(chan Outcome, 1)
	p.mu.Lock()
	s := p.service(service)
	s.queue.Add(r)
	s.waiters[r] = done
	p.start(s)
	p.mu.Unlock()
	select {
	case outcome := <-done:
		return outcome, p.expected(service, r.Rank)
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(s.waiters, r)
	if s.queue.Remove(r) {
		return Left, 0
	}
	return <-done, 0
}

func (p *Pacer) expected(service string, rank int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(service).queue.Wait(time.Now(), rank)
}

// start releases what may start and sets the timer for the rest. The caller
// holds mu.
func (p *Pacer) start(s *paced) {
	now := time.Now()
	started, expired := s.queue.Start(now)
	for _, r := range started {
		s.release(r, Started)
	}
	for _, r := range expired {
		s.release(r, Expired)
	}
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	if at, ok := s.queue.Next(now); ok {
		s.timer = time.AfterFunc(time.Until(at), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.start(s)
		})
	}
}

func (s *paced) release(r *Request, o Outcome) {
	if done := s.waiters[r]; done != nil {
		done <- o
		delete(s.waiters, r)
	}
}

func (o Outcome) String() string {
	switch o {
	case Started:
		return "started"
	case Expired:
		return "expired"
	default:
		return "left"
	}
}
