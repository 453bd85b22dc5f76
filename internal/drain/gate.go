package drain

import "time"

// ViewLimit is how old the view of leaves may be before a daemon does not
// trust it. With one read a second it tolerates one lost read, and it leaves
// one of the 3 s for the leave to spread.
const ViewLimit = 2 * time.Second

// Verdict tells whether new work may be sent to an upstream.
type Verdict uint8

const (
	// Allow lets new work through.
	Allow Verdict = iota + 1
	// RefuseLeaving means that the upstream is known to leave or to be gone.
	RefuseLeaving
	// RefuseStale means that the daemon cannot know whether the upstream still
	// serves, and that the upstream would not refuse by itself.
	RefuseStale
)

// Evidence is what a daemon's view of leaves rests on.
type Evidence struct {
	// PlatformRead is when the last successful read of the drain rows and of
	// the VM list began.
	PlatformRead time.Time
	// PeerHeard is when any mesh neighbour was last heard.
	PeerHeard time.Time
	// HoldsLease tells whether the daemon's roster lease is running.
	HoldsLease bool
}

// Gate decides about new work for one upstream. fences tells whether the
// upstream refuses new work when it is told to; serveStale is the operator's
// choice to prefer availability for upstreams that do not.
//
// A daemon that is cut off goes on with upstreams that fence, because a leave
// is accepted only when they refuse. For the others it goes on while it holds
// its lease and hears peers: a leave is then accepted only after it has
// acknowledged or its lease has ended.
func Gate(now time.Time, leaving, fences, serveStale bool, e Evidence) Verdict {
	switch {
	case leaving:
		return RefuseLeaving
	case fences, serveStale:
		return Allow
	case now.Sub(e.PlatformRead) <= ViewLimit:
		return Allow
	case e.HoldsLease && now.Sub(e.PeerHeard) <= ViewLimit:
		return Allow
	default:
		return RefuseStale
	}
}
