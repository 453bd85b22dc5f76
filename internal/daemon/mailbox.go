package daemon

import "sync"

// mailbox is an unbounded queue of work for one goroutine. Posting never
// blocks, so that callbacks which must not block can use it. It stays short:
// what is posted is bounded by the peers' frames and the ticks.
type mailbox struct {
	mu    sync.Mutex
	queue []func()
	ready chan struct{}
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// post adds work.
func (m *mailbox) post(f func()) {
	m.mu.Lock()
	m.queue = append(m.queue, f)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take removes all work.
func (m *mailbox) take() []func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	work := m.queue
	m.queue = nil
	return work
}
