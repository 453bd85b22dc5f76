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
	// Quorum tells whether at least half of the daemons of the own region's
	// roster, this one included, are not suspected.
	Quorum bool
	// Alone tells that the roster names no other daemon, so that none can
	// accept a leave.
	Alone bool
}

// Gate decides about new work for one upstream. fences tells whether the
// upstream refuses new work when it is told to; serveStale is the operator's
// choice to prefer availability for upstreams that do not.
//
// A daemon that is cut off goes on with upstreams that fence, because a leave
// is accepted only when they refuse. For the others it goes on without the
// platform while it hears a peer and at least half of its region is live.
// Daemons whose lease has ended count as stopped only if they cannot be such a
// group; see Controller.
func Gate(now time.Time, leaving, fences, serveStale bool, e Evidence) Verdict {
	switch {
	case leaving:
		return RefuseLeaving
	case fences, serveStale:
		return Allow
	case now.Sub(e.PlatformRead) <= ViewLimit:
		return Allow
	case e.Quorum && now.Sub(e.PeerHeard) <= ViewLimit, e.Alone:
		return Allow
	default:
		return RefuseStale
	}
}
