package balancer

import "time"

const (
	// fetchSetup is the time that a copy takes before its first token.
	fetchSetup = 5 * time.Millisecond
	// fetchWeight counts the time of a copy more than once: it takes memory at
	// the other engine and transport on the way.
	fetchWeight = 8.0
	// movedPeriod is how long an engine that joined, or came from the other pool,
	// counts as one that lacks the prompts of its new home. Prompts in use come
	// back within that time.
	movedPeriod = 20 * time.Second
	// settledTime is how long an engine is in a pool before it holds prompts
	// that are worth copying.
	settledTime = 2 * time.Second
)

// An engine that lacks the shared parts of a prompt can copy them from the
// memory of one that holds them, which takes a small part of the time of
// reading them. Daemons do not tell each other where prompts are. They know it
// without: all of them send a prompt to its home, and after a change of the
// engines or of the pools the home before the change still holds it. The copy is
// an attempt: an engine reads what the other does not hold.

// resizePool takes the size of the interactive pool and notes which engines
// changed sides.
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

// switchPool notes that the engine changed sides. One that returns after a
// short time still holds its prompts.
func (u *upstream) switchPool(now, first time.Time) {
	since := u.switchedAt
	if since.IsZero() {
		since = first
	}
	u.switchedAt = now
	if now.Sub(since) < settledTime {
		u.switchedAt = time.Time{}
	}
}

// holder returns the engine that most likely holds the shared parts of a
// prompt, or nil if engines do not copy. interactive names the pool of the
// request.
func (s *service) holder(now time.Time, candidates []*upstream, p *Prompt, interactive bool) *upstream {
	if s.tokenFetchTime == 0 {
		return nil
	}
	return rendezvous(candidates, p.affinity, func(u *upstream) bool {
		own := u.inPool(s.poolSize) == interactive
		return !recent(now, u.joinedAt) && own != recent(now, u.switchedAt)
	})
}

// worthFetching reports whether copying tokens takes less time than reading
// them.
func (s *service) worthFetching(tokens int) bool {
	return tokens > 0 && fetchSetup+time.Duration(tokens)*s.tokenFetchTime < s.speed.duration(tokens)
}

// fetchCost is the cost of copying tokens. It rises while requests wait at all
// engines, because a home that is still reading has nothing to copy yet.
func (s *service) fetchCost(tokens int) time.Duration {
	weight := fetchWeight * (1 + pressureWeight*s.load.pressure)
	return fetchSetup + time.Duration(weight*float64(tokens)*float64(s.tokenFetchTime))
}

func recent(now, at time.Time) bool { return !at.IsZero() && now.Sub(at) < movedPeriod }
