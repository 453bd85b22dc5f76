package engineclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// rememberedEvents is how far back an exact duplicate is recognised. An older
// event counts as a mismatch.
const rememberedEvents = 64

// arenaSize is the size of the blocks that event data is cut from. Retaining
// one event's data retains its block.
const arenaSize = 4 << 10

var doneMarker = []byte("[DONE]")

var (
	errIdle   = errors.New("nothing arrived within the idle timeout")
	errClosed = errors.New("stream was closed")
)

// eventStream implements ports.Stream. Event.Data stays valid after the next
// Recv; the receiver must not append to it.
type eventStream struct {
	attempt domain.AttemptID
	resumed bool
	body    io.Closer
	reader  *sseReader
	cancel  context.CancelCauseFunc
	idle    *time.Timer
	timeout time.Duration
	once    sync.Once

	next   int
	tokens int
	seen   [rememberedEvents]uint64
	first  int
	parser *chunkParser
	arena  []byte
	end    error
	// complete is set when Recv will not read again.
	complete atomic.Bool
}

// newStream reads events from index first on.
func newStream(attempt domain.AttemptID, first int, body io.ReadCloser, cancel context.CancelCauseFunc, o Options) *eventStream {
	return &eventStream{
		attempt: attempt,
		resumed: first > 0,
		body:    body,
		parser:  newChunkParser(),
		reader:  newSSEReader(body, o.MaxLine, o.MaxEvent),
		cancel:  cancel,
		idle:    time.AfterFunc(o.IdleTimeout, func() { cancel(errIdle) }),
		timeout: o.IdleTimeout,
		next:    first,
		first:   first,
	}
}

// Recv returns the next event of the attempt. See ports.Stream.
func (s *eventStream) Recv() (ports.Event, error) {
	if s.end != nil {
		return ports.Event{}, s.end
	}
	event, err := s.recv()
	if err != nil {
		s.end = err
		return ports.Event{}, err
	}
	if event.Final {
		s.end = io.EOF
		s.complete.Store(true)
	}
	return event, nil
}

func (s *eventStream) recv() (ports.Event, error) {
	for {
		raw, err := s.read()
		if err != nil {
			return ports.Event{}, err
		}
		duplicate, err := s.check(raw)
		if err != nil {
			return ports.Event{}, err
		}
		if duplicate {
			continue
		}
		event, err := s.decode(raw)
		if err != nil {
			return ports.Event{}, err
		}
		if event.Final {
			err = s.checkFinal(&event)
		}
		return event, err
	}
}

func (s *eventStream) read() (sseEvent, error) {
	s.idle.Reset(s.timeout)
	raw, err := s.reader.next()
	switch {
	case err == nil:
		return raw, nil
	case errors.Is(err, io.EOF):
		return sseEvent{}, fmt.Errorf("%w: no final event after event %d", ports.ErrStreamBroken, s.next-1)
	default:
		return sseEvent{}, fmt.Errorf("%w after event %d: %w", ports.ErrStreamBroken, s.next-1, err)
	}
}

// check verifies the event's attempt and index and reports whether it repeats
// an earlier one exactly.
func (s *eventStream) check(raw sseEvent) (duplicate bool, err error) {
	id, index, err := parseEventID(raw.id)
	if err != nil {
		if bytes.Equal(raw.data, doneMarker) {
			return false, fmt.Errorf("%w: [DONE] without a final event", ports.ErrStreamBroken)
		}
		return false, err
	}
	if string(id) != string(s.attempt) {
		return false, fmt.Errorf("%w: got an event of %q", ports.ErrMismatch, id)
	}
	sum := xxhash.Sum64(raw.data)
	if index == s.next {
		s.seen[index%rememberedEvents] = sum
		s.next++
		return false, nil
	}
	known := index < s.next && index >= s.first && index >= s.next-rememberedEvents
	if known && s.seen[index%rememberedEvents] == sum {
		return true, nil
	}
	return false, fmt.Errorf("%w: got event %d, want %d", ports.ErrMismatch, index, s.next)
}

// parseEventID splits <attempt id>:<index>.
func parseEventID(raw []byte) (id []byte, index int, err error) {
	colon := bytes.LastIndexByte(raw, ':')
	if colon < 0 {
		return nil, 0, fmt.Errorf("%w: event id %q has no index", ports.ErrMismatch, raw)
	}
	index, err = strconv.Atoi(string(raw[colon+1:]))
	if err != nil || index < 0 {
		return nil, 0, fmt.Errorf("%w: event id %q has no valid index", ports.ErrMismatch, raw)
	}
	return raw[:colon], index, nil
}

func (s *eventStream) decode(raw sseEvent) (ports.Event, error) {
	event := ports.Event{Attempt: s.attempt, Index: s.next - 1, Data: s.keep(raw.data)}
	c, err := s.parser.parse(raw.data)
	switch {
	case err != nil:
		return event, fmt.Errorf("%w: event %d: %w", ports.ErrStreamBroken, event.Index, err)
	case c.failure != "":
		return event, fmt.Errorf("%w: engine reported %s", ports.ErrStreamBroken, c.failure)
	case c.finishReason != "" && !c.hasUsage:
		return event, fmt.Errorf("%w: final event has no usage", ports.ErrStreamBroken)
	}
	event.Text = c.text
	event.Tokens = c.tokens
	if !c.hasTokens && c.text != "" {
		event.Tokens = 1
	}
	s.tokens += event.Tokens
	event.Final = c.finishReason != ""
	event.FinishReason = c.finishReason
	event.CompletionTokens = c.completionTokens
	event.PromptTokens = c.promptTokens
	event.CachedTokens = c.cachedTokens
	return event, nil
}

// keep copies data into the stream's arena.
func (s *eventStream) keep(data []byte) []byte {
	if len(data) > arenaSize/4 {
		return bytes.Clone(data)
	}
	if len(s.arena)+len(data) > cap(s.arena) {
		s.arena = make([]byte, 0, arenaSize)
	}
	start := len(s.arena)
	s.arena = append(s.arena, data...)
	return s.arena[start:len(s.arena):len(s.arena)]
}

// checkFinal verifies the token count and that [DONE] follows. The tokens
// before a resumption are unknown here, so a resumed stream only bounds them.
func (s *eventStream) checkFinal(event *ports.Event) error {
	mismatch := s.tokens != event.CompletionTokens
	if s.resumed {
		mismatch = s.tokens > event.CompletionTokens
	}
	if mismatch {
		return fmt.Errorf("%w: received %d tokens, engine counts %d", ports.ErrStreamBroken, s.tokens, event.CompletionTokens)
	}
	for {
		raw, err := s.read()
		if err != nil {
			return err
		}
		if bytes.Equal(raw.data, doneMarker) {
			return nil
		}
		duplicate, err := s.check(raw)
		if err != nil {
			return err
		}
		if !duplicate {
			return fmt.Errorf("%w: event behind the final event", ports.ErrMismatch)
		}
	}
}

// Close releases the connection. A connection whose stream ended is reused. It
// may be called while Recv waits, which then fails.
func (s *eventStream) Close() error {
	s.once.Do(func() {
		s.idle.Stop()
		if s.complete.Load() {
			s.drain()
		}
		s.cancel(errClosed)
		_ = s.body.Close()
	})
	return nil
}

// drainTimeout bounds the wait for the end of a finished response. Opening a
// new connection costs less than a longer wait.
const drainTimeout = 50 * time.Millisecond

// drain reads the end of a finished body, which lets the transport reuse the
// connection.
func (s *eventStream) drain() {
	s.idle.Reset(drainTimeout)
	_, _ = s.reader.in.Peek(1)
	s.idle.Stop()
}
