// Package contain keeps a panic in the handling of one message, row or page from
// ending the process and all requests in it.
//
// It is used where what the panicking code may have left half done is discarded or
// read again: a datagram, a page of a table, a load report. It is not used for the
// path of a request, which net/http contains. The code must hold no lock that it does
// not release by defer.
package contain

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	// maxStackBytes bounds the stack in a log line.
	maxStackBytes = 4 << 10
	// logInterval and logBurst bound the lines: a message that panics may come
	// again and again.
	logInterval = time.Minute
	logBurst    = 10
)

// ErrPanic is in the chain of the errors that Do returns for a panic.
var ErrPanic = eris.New("panic")

var logLimit = rate.NewLimiter(rate.Every(logInterval/logBurst), logBurst)

// Do calls f. A panic of f is logged with its stack and returned as an error. place
// names what f handles.
func Do(log *telemetry.Log, place string, f func() error) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		err = eris.Wrapf(ErrPanic, "in %s: %v", place, value)
		if !logLimit.Allow() {
			return
		}
		stack := debug.Stack()
		log.Event(telemetry.PanicContained).Str("place", place).Str("value", fmt.Sprint(value)).
			Str("stack", string(stack[:min(len(stack), maxStackBytes)])).Send()
	}()
	return f()
}
