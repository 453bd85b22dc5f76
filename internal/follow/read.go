package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Page is a part of a table in the order of its keys.
type Page struct {
	Rows []ports.Row
	// Version is the version as of which the rows were read.
	Version ports.Version
	// Next is the key from which the next page starts, empty at the end.
	Next string
}

// Reader reads a table.
type Reader interface {
	// ReadPage returns a page of rows that starts at the given key.
	ReadPage(ctx context.Context, from string) (Page, error)
}

// pageRetry is the delay before a page that the platform throttled is requested
// again. All daemons read at the same time after a simultaneous restart, and reads
// that started over would keep the platform at its rate limit.
var pageRetry = backoff.Policy{Floor: 50 * time.Millisecond, Cap: 500 * time.Millisecond}

// ReadAll returns all rows of a table and the version of the first page, so that
// changes made while it read are returned again by a later call for changes. If a
// page after the first is throttled, it retries that page. Pages of several eras make up
// no table.
func ReadAll(ctx context.Context, r Reader, rng *rand.Rand) ([]ports.Row, ports.Version, error) {
	var rows []ports.Row
	var version ports.Version
	from, throttled := "", 0
	for first := true; ; {
		page, err := r.ReadPage(ctx, from)
		if errors.Is(err, ports.ErrThrottled) && !first {
			throttled++
			if !backoff.Sleep(ctx, pageRetry.Delay(throttled, rng)) {
				return nil, 0, ctx.Err()
			}
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		if first {
			version, first = page.Version, false
		}
		if page.Version.Era() != version.Era() {
			return nil, 0, eris.Wrapf(errStaleRead, "pages are of eras %d and %d", version.Era(), page.Version.Era())
		}
		throttled = 0
		rows = append(rows, page.Rows...)
		if page.Next == "" {
			return rows, version, nil
		}
		from = page.Next
	}
}
