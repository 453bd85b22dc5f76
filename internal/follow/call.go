package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// minCallTimeout and maxCallTimeout bound the wait for the response to a call
	// that the platform answers at once, and for each further part of a response.
	// A page takes a few milliseconds, and up to 0.35 s while the platform is slow.
	minCallTimeout = 800 * time.Millisecond
	maxCallTimeout = 3 * time.Second
	// callTimeoutFactor is the timeout as a multiple of the time that responses
	// take.
	callTimeoutFactor = 4
	// callTimeoutGrowth is the growth of the timeout after a call that exceeded it.
	callTimeoutGrowth = 1.4
	// maxTransferTime bounds a response that arrives in parts.
	maxTransferTime = 10 * time.Second
)

var (
	// errCallTimeout means that a call got no response in time.
	errCallTimeout = errors.New("no response within the timeout")
	// errCallRepeated means that a call was ended so that it can be repeated.
	errCallRepeated = errors.New("call ended to be repeated")
)

// callTimeout is the timeout of calls that the platform answers at once. It
// follows the time that recent responses took.
type callTimeout struct{ current time.Duration }

func (t *callTimeout) value() time.Duration { return max(t.current, minCallTimeout) }

// observe records how long a response took.
func (t *callTimeout) observe(took time.Duration) {
	t.current = min(max(callTimeoutFactor*took, t.value()/2), maxCallTimeout)
}

// exceeded records that a call got no response in time.
func (t *callTimeout) exceeded() {
	t.current = min(time.Duration(callTimeoutGrowth*float64(t.value())), maxCallTimeout)
}

// call is one call to the platform. It ends if its response does not begin within
// a timeout, or if it stalls for longer than the timeout between parts.
type call struct {
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	stall   time.Duration
	started time.Time
	// responding is set once a part of the response has arrived.
	responding atomic.Bool
}

type callKey struct{}

// newCall starts the timeouts of a call. response bounds the wait for its first
// byte, stall the wait for further ones.
func newCall(ctx context.Context, response, stall time.Duration) (context.Context, *call) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{cancel: cancel, stall: stall, started: time.Now()}
	c.timer = time.AfterFunc(response, func() { cancel(errCallTimeout) })
	return context.WithValue(ctx, callKey{}, c), c
}

// Progress records that a part of the response to a call has arrived. ctx is the
// context that the Source was called with.
func Progress(ctx context.Context) {
	c, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	c.responding.Store(true)
	if elapsed := time.Since(c.started); elapsed < maxTransferTime {
		c.timer.Reset(min(c.stall, maxTransferTime-elapsed))
	}
}

// repeat ends the call so that it can be repeated, unless its response has begun.
func (c *call) repeat() {
	if !c.responding.Load() {
		c.cancel(errCallRepeated)
	}
}

// end releases the call and returns its error. A call that ended early returns the
// reason.
func (c *call) end(ctx context.Context, err error) error {
	c.timer.Stop()
	cause := context.Cause(ctx)
	c.cancel(nil)
	switch {
	case err == nil || cause == nil:
		return err
	case errors.Is(cause, errCallTimeout):
		return eris.Wrapf(errors.Join(ports.ErrUnavailable, errCallTimeout), "after %s", time.Since(c.started).Round(time.Millisecond))
	default:
		return cause
	}
}
