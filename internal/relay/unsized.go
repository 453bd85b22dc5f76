package relay

import (
	"sync/atomic"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

const (
	// freeUnsizedBytes is how much of a response without a stated length is relayed
	// as fast as it arrives. The rest shares a rate with all others.
	freeUnsizedBytes = 1 << 20
	// maxUnsizedBytes bounds a response without a stated length.
	maxUnsizedBytes = 64 << 20
	// unsizedBurst is the burst of the shared rate, in bytes. It covers one copy
	// buffer and one event.
	unsizedBurst = maxEventBytes + copyBufferSize
)

// errResponseTooLong means that a response without a stated length exceeds
// maxUnsizedBytes.
var errResponseTooLong = eris.New("response without a length exceeds the size limit")

// unsizedRate is the rate at which long responses without a stated length are relayed,
// all together. An upstream in trouble may send bytes without end, which would take the
// VM's link from all other callers until the request's deadline.
type unsizedRate struct {
	limiter atomic.Pointer[rate.Limiter]
}

// SetUnsizedResponseRate bounds the bytes a second of long responses without a stated
// length, all together. Zero means no limit.
func (h *Handler) SetUnsizedResponseRate(bytesPerSecond float64) {
	if bytesPerSecond <= 0 {
		h.unsized.limiter.Store(nil)
		return
	}
	h.unsized.limiter.Store(rate.NewLimiter(rate.Limit(bytesPerSecond), unsizedBurst))
}

// countUnsized counts n bytes of the response and waits for the shared rate if it has
// no stated length and has become long. It returns an error if the response exceeds
// its limit or the request ends meanwhile.
func (a *attempt) countUnsized(n int) error {
	if a.response.Length >= 0 {
		return nil
	}
	a.unsizedBytes += int64(n)
	switch limiter := a.q.h.unsized.limiter.Load(); {
	case a.unsizedBytes > maxUnsizedBytes:
		return errResponseTooLong
	case a.unsizedBytes <= freeUnsizedBytes || limiter == nil:
		return nil
	default:
		return limiter.WaitN(a.q.ctx, min(n, unsizedBurst))
	}
}
