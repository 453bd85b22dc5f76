package engine

// Faults are the lasting fault switches. The zero value is a healthy engine.
// Silence and Crash are separate methods, because they happen once.
type Faults struct {
	// Straggle multiplies all simulated times. Zero and 1 mean none.
	Straggle float64 `json:"straggle"`
	// Refuse answers new requests with 503 and X-Not-Run.
	Refuse bool `json:"refuse"`
	// Down closes all connections and accepts no new ones. The state is kept.
	Down bool `json:"down"`
	// StopAnswering accepts connections and requests and never answers; open
	// streams stall.
	StopAnswering bool `json:"stop_answering"`
	// FalseIdle makes load reports show an empty engine.
	FalseIdle bool `json:"false_idle"`
	// Crossed replaces one event of each stream with one of another attempt.
	Crossed bool `json:"crossed"`
	// Duplicate sends each event twice.
	Duplicate bool `json:"duplicate"`
	// Late sends each odd event behind its successor.
	Late bool `json:"late"`
	// TruncateAfter ends each connection's stream cleanly but without a final
	// event after this number of events. Zero means never.
	TruncateAfter int `json:"truncate_after"`
	// Only restricts the stream faults to requests whose attempt id starts
	// with it. Empty means all.
	Only string `json:"only"`
}

// faultCommand is the body of POST /faults.
type faultCommand struct {
	Faults
	Crash   bool `json:"crash"`
	Silence bool `json:"silence"`
}

// Faults returns the switches in force.
func (e *Engine) Faults() Faults {
	return *e.faults.Load()
}

// SetFaults replaces the switches.
func (e *Engine) SetFaults(f Faults) {
	e.faults.Store(&f)
	e.setDown(f.Down)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.attempts {
		a.notify()
	}
}

// Silence makes all open connections silent for good; new ones work. It
// returns their number. It needs Start.
func (e *Engine) Silence() int {
	if l := e.listener.Load(); l != nil {
		return l.Silence()
	}
	return 0
}

// Crash drops all connections, attempts, cache contents and orders, and
// starts a new incarnation. The ledger is kept.
func (e *Engine) Crash() {
	e.mu.Lock()
	for _, a := range e.attempts {
		e.endLocked(a, StateLost)
	}
	e.resetLocked()
	e.incarnation++
	e.mu.Unlock()
	if l := e.listener.Load(); l != nil {
		l.Drop()
	}
}

func (e *Engine) setDown(down bool) {
	l := e.listener.Load()
	if l == nil {
		return
	}
	l.SetDown(down)
	if down {
		l.Drop()
	}
}
