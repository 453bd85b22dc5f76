package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// Page is a part of a table in the order of its keys.
type Page struct {
	Rows []ports.Row
	// Version is the version as of which the rows are.
	Version ports.Version
	// Next is the key from which the next page starts, empty at the end.
	Next string
}

// Reader reads a table.
type Reader interface {
	// ReadPage returns the rows from a key on.
	ReadPage(ctx context.Context, from string) (Page, error)
}

// pageRetry is the pause before a page that the platform's rate limit refused
// is asked for again. All daemons read at the same time after a common end, and
// a reading that started over would keep the platform at its limit.
var pageRetry = backoff.Policy{Floor: 50 * time.Millisecond, Cap: 500 * time.Millisecond}

// ReadAll returns all rows of a table and the version as of which the first of
// them are, so that later changes are told again. It goes on where a rate limit
// stopped it.
func ReadAll(ctx context.Context, r Reader, rng *rand.Rand) ([]ports.Row, ports.Version, error) {
	var rows []ports.Row
	var version ports.Version
	from, refused := "", 0
	for first := true; ; {
		page, err := r.ReadPage(ctx, from)
		if errors.Is(err, ports.ErrThrottled) && !first {
			refused++
			if !backoff.Sleep(ctx, pageRetry.Delay(refused, rng)) {
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
		refused = 0
		rows = append(rows, page.Rows...)
		if page.Next == "" {
			return rows, version, nil
		}
		from = page.Next
	}
}
