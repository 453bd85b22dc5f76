package balancer

import "time"

const (
	// fetchSetup is the time from the start of a fetch to its first token.
	fetchSetup = 5 * time.Millisecond
	// fetchWeight multiplies the time of a fetch, because it uses memory at the other
	// engine and bandwidth on the way.
	fetchWeight = 8.0
	// movedPeriod is how long an engine that joined, or came from the other pool, is
	// assumed to lack the prompts that are now sent to it. Prompts in use reach it
	// within that time.
	movedPeriod = 20 * time.Second
	// settledTime is how long an engine must be in a pool before its prefix cache is
	// worth fetching from.
	settledTime = 2 * time.Second
)

// An engine that lacks the shared parts of a prompt can fetch them from the KV cache
// of one that holds them, in a small part of the time of a prefill. Daemons do not
// exchange where prompts are cached. They infer it: all of them send a prompt to its
// preferred upstream, and after a change of the engines or of the pools the one
// preferred before the change still holds it. The fetch is best effort: an engine
// prefills what the other does not hold.

// resizePool sets the size of the interactive pool and records which engines changed
// pools.
func (s *service) resizePool(now time.Time, size int) {
	if size == s.poolSize {
		return
	}
	low, high := min(size, s.poolSize), max(size, s.poolSize)
	for _, u := range s.serving[min(low, len(s.serving)):min(high, len(s.serving))] {
		u.switchPool(now, s.firstPick)
	}
	s.poolSize = size
}

// switchPool records that the engine changed pools. An engine that returns within
// settledTime still holds its prompts and does not count as moved.
func (u *upstream) switchPool(now, firstPick time.Time) {
	since := u.switchedAt
	if since.IsZero() {
		since = firstPick
	}
	u.switchedAt = now
	if now.Sub(since) < settledTime {
		u.switchedAt = time.Time{}
	}
}

// holder returns the engine that most likely holds the shared parts of a prompt, or
// nil if engines can't fetch. interactive selects the pool of the request.
func (s *service) holder(now time.Time, candidates []*upstream, p *Prompt, interactive bool) *upstream {
	if s.tokenFetchTime == 0 {
		return nil
	}
	return rendezvous(candidates, p.affinity, func(u *upstream) bool {
		samePool := u.inPool(s.poolSize) == interactive
		return !recent(now, u.joinedAt) && samePool != recent(now, u.switchedAt)
	})
}

// worthFetching reports whether fetching tokens takes less time than a prefill.
func (s *service) worthFetching(tokens int) bool {
	return tokens > 0 && fetchSetup+time.Duration(tokens)*s.tokenFetchTime < s.speed.duration(tokens)
}

// fetchCost returns the cost of fetching tokens. It rises while requests wait at the
// engines, because an engine that has not finished its prefill has nothing to fetch
// yet.
func (s *service) fetchCost(tokens int) time.Duration {
	weight := fetchWeight * (1 + pressureWeight*s.load.pressure)
	return fetchSetup + time.Duration(weight*float64(tokens)*float64(s.tokenFetchTime))
}

func recent(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < movedPeriod }
