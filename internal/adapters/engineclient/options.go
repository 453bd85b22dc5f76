package engineclient

import (
	"cmp"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
)

// Options sets up a Client. Zero values take the defaults given with each
// field.
type Options struct {
	// Transport holds pool sizes and connection timeouts. Its
	// ResponseHeaderTimeout defaults to 30 s here.
	Transport httpsend.Options
	// IdleTimeout breaks a stream on which nothing arrives. It is a backstop
	// behind the silence detection of the exchange. Default 60 s.
	IdleTimeout time.Duration
	// CallTimeout bounds short calls: cancel, load, cache events, orders and
	// probe. Default 2 s.
	CallTimeout time.Duration
	// TransferTimeout bounds KV export and import. Default 30 s.
	TransferTimeout time.Duration
	// MaxLine bounds one line of a stream. Default 256 KiB.
	MaxLine int
	// MaxEvent bounds the data of one event. Default 1 MiB.
	MaxEvent int
	// MaxBody bounds a whole response of a short call or a plain service.
	// Default 16 MiB.
	MaxBody int64
}

func (o Options) withDefaults() Options {
	o.Transport.ResponseHeaderTimeout = cmp.Or(o.Transport.ResponseHeaderTimeout, 30*time.Second)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, time.Minute)
	o.CallTimeout = cmp.Or(o.CallTimeout, 2*time.Second)
	o.TransferTimeout = cmp.Or(o.TransferTimeout, 30*time.Second)
	o.MaxLine = cmp.Or(o.MaxLine, 256<<10)
	o.MaxEvent = cmp.Or(o.MaxEvent, 1<<20)
	o.MaxBody = cmp.Or(o.MaxBody, 16<<20)
	return o
}
