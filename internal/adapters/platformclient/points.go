package platformclient

import (
	"errors"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/ports"
)

// avoidTime is how long an access point that failed comes behind the others.
// Without it every call would first wait for a silent access point.
const avoidTime = 5 * time.Second

// accessPoint is one base URL of the platform.
type accessPoint struct {
	base  string
	avoid atomic.Int64 // until when others are preferred, in Unix ns
}

func newAccessPoints(bases []string) ([]*accessPoint, error) {
	if len(bases) == 0 {
		return nil, eris.New("no platform address is given")
	}
	points := make([]*accessPoint, 0, len(bases))
	for _, base := range bases {
		u, err := url.Parse(base)
		if err != nil {
			return nil, eris.Wrapf(err, "platform address %q", base)
		}
		if u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, eris.Errorf("platform address %q is not an http URL", base)
		}
		points = append(points, &accessPoint{base: strings.TrimSuffix(base, "/")})
	}
	return points, nil
}

// note remembers how a call ended. An answer about the call itself, such as a
// conflict, shows that the access point works.
func (p *accessPoint) note(now time.Time, err error) {
	if errors.Is(err, ports.ErrUnavailable) || errors.Is(err, ports.ErrUnknownOutcome) {
		p.avoid.Store(now.Add(avoidTime).UnixNano())
		return
	}
	p.avoid.Store(0)
}

// order returns the access points by preference, those that failed lately
// behind the others.
func (c *Client) order(now time.Time) []*accessPoint {
	if len(c.points) == 1 {
		return c.points
	}
	order := slices.Clone(c.points)
	slices.SortStableFunc(order, func(a, b *accessPoint) int {
		return rank(a, now) - rank(b, now)
	})
	return order
}

func rank(p *accessPoint, now time.Time) int {
	if now.UnixNano() < p.avoid.Load() {
		return 1
	}
	return 0
}
