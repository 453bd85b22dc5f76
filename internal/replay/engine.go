package replay

import (
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// engine is a small model engine with continuous batching.
type engine struct {
	spec     *EngineSpec
	index    int
	clock    *clock
	running  []*sequence
	queue    []*sequence // by priority, then arrival
	streams  map[domain.AttemptID]*sequence
	stepping bool
	crashes  int

	factor  float64
	down    bool
	refuses bool
	frozen  *ports.LoadReport

	assigned int // attempts that the oracle placed here
	computed int // generated tokens
	prefills int // prompt tokens processed
}

// sequence is one attempt on an engine.
type sequence struct {
	attempt  domain.AttemptID
	request  *request
	priority int
	prompt   int // tokens to process before the first one
	skip     int // tokens of the answer that an earlier attempt generated
	total    int // tokens to generate
	done     int
	started  bool
	ended    bool
	conn     connection
}

// connection leads from an engine to an attempt of a request.
type connection struct {
	number, conn int
	open         bool
}

// submit starts an attempt. It reports ErrRefused without running it.
func (e *engine) submit(s *sequence) error {
	if e.refuses {
		return ports.ErrRefused
	}
	e.streams[s.attempt] = s
	at := len(e.queue)
	for at > 0 && e.queue[at-1].priority > s.priority {
		at--
	}
	e.queue = append(e.queue, nil)
	copy(e.queue[at+1:], e.queue[at:])
	e.queue[at] = s
	e.step()
	return nil
}

// resume sends the events behind last again and then the rest.
func (e *engine) resume(id domain.AttemptID, last int, conn connection) error {
	s := e.streams[id]
	if s == nil {
		return ports.ErrStreamGone
	}
	s.conn = conn
	end := s.done
	if s.done == s.total {
		end++
	}
	for i := last + 1; i < end; i++ {
		e.send(s, i)
	}
	return nil
}

func (e *engine) cancel(id domain.AttemptID) {
	s := e.streams[id]
	if s == nil || s.ended {
		return
	}
	s.ended = true
	delete(e.streams, id)
	e.running = without(e.running, s)
	e.queue = without(e.queue, s)
}

func without(list []*sequence, s *sequence) []*sequence {
	for i := range list {
		if list[i] == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// crash loses everything on the engine and breaks its connections.
func (e *engine) crash() {
	e.down = true
	e.crashes++
	e.stepping = false
	for _, s := range append(e.running, e.queue...) {
		s.ended = true
		if s.conn.open {
			s.request.broken(e, s.conn)
		}
	}
	e.running, e.queue = nil, nil
	clear(e.streams)
}

// step runs one iteration of the batch unless one is in progress.
func (e *engine) step() {
	if e.stepping || e.down {
		return
	}
	prompt := 0
	for len(e.running) < e.spec.Slots && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = append(e.queue[:0], e.queue[1:]...)
		s.started = true
		prompt += s.prompt
		e.running = append(e.running, s)
	}
	if len(e.running) == 0 {
		return
	}
	e.prefills += prompt
	ms := float64(e.spec.Step) + float64(e.spec.StepPerRequest)*float64(len(e.running)) + float64(e.spec.Prefill)*float64(prompt)
	e.stepping = true
	crashes := e.crashes
	e.clock.after(Millis(ms*e.factor).Duration(), func() {
		if crashes == e.crashes {
			e.stepping = false
			e.generate()
			e.step()
		}
	})
}

// generate gives each running request one token.
func (e *engine) generate() {
	keep := e.running[:0]
	for _, s := range e.running {
		s.request.ran = true
		s.done++
		e.computed++
		e.send(s, s.done-1)
		if s.done < s.total {
			keep = append(keep, s)
			continue
		}
		s.ended = true
		e.send(s, s.done)
	}
	for i := len(keep); i < len(e.running); i++ {
		e.running[i] = nil
	}
	e.running = keep
}

// send delivers event i of a sequence.
func (e *engine) send(s *sequence, i int) {
	if !s.conn.open {
		return
	}
	ev := ports.Event{Attempt: s.attempt, Index: i}
	if i < s.total {
		ev.Tokens = 1
		ev.Text = s.request.word(s.skip + i)
	} else {
		ev.Final = true
		ev.CompletionTokens = s.total
		ev.PromptTokens = s.prompt
	}
	s.request.deliver(e, s.conn, ev)
}

// report returns the engine's load.
func (e *engine) report(now time.Time) ports.LoadReport {
	if e.frozen != nil {
		return *e.frozen
	}
	r := ports.LoadReport{
		Upstream:    domain.UpstreamID(e.spec.ID),
		Incarnation: domain.Incarnation(e.crashes + 1),
		Taken:       now,
		Age:         e.spec.ReportLag.Duration(),
		Running:     len(e.running),
		Queued:      len(e.queue),
		Slots:       e.spec.Slots,
		Models:      []string{modelName},
	}
	for _, s := range e.running {
		r.ActiveTokens += s.prompt + s.done
	}
	for _, s := range e.queue {
		r.ActiveTokens += s.prompt
	}
	return r
}

// wait predicts, from the true state, how long a further request waits for
// its first token.
func (e *engine) wait(prompt int) time.Duration {
	busy := max(len(e.running), e.assigned)
	ms := float64(e.spec.Step)*1.5 + float64(e.spec.StepPerRequest)*float64(busy) + float64(e.spec.Prefill)*float64(prompt)
	return Millis(ms * e.factor).Duration()
}
