package peers

import (
	"sync/atomic"
	"time"
)

const (
	// defaultChangeBound is the bound on changes of a table for which Config states none.
	defaultChangeBound = 4 * time.Second
	// ownReadTime is what a daemon needs to ask the platform itself and to act on the
	// answer, up to the requests that it has just sent.
	ownReadTime = 800 * time.Millisecond
	// successionTime is the longest time between the first and the last daemon of a group to
	// stop relying on its reader. Half of it covers a call to the platform and an
	// announcement.
	successionTime = 300 * time.Millisecond
	// answerMargin is what the platform's answer and an announcement of it may take.
	answerMargin = 200 * time.Millisecond
	// minAnswerInterval bounds the calls of a reader where the bound on changes leaves no
	// time to rely on it.
	minAnswerInterval = 500 * time.Millisecond
)

// reliance says for how long daemons may rely on another one's reading of a table.
//
// The bound on changes is counted from the moment at which the platform has accepted one.
// A reader can't tell a platform without changes from one that no longer answers it, and
// announces its copy in both cases. So a daemon stops relying on it while there is still
// time to ask the platform itself. The daemons of a group stop one after the other: the
// first one reads for the others from then on, so that not all of them ask.
type reliance struct{ bound time.Duration }

func (n *Node) relianceOn(table string) reliance {
	if n.ChangeBound == nil {
		return reliance{defaultChangeBound}
	}
	return reliance{n.ChangeBound(table)}
}

// turnOf returns how much later than the first daemon of a group one stops relying on its
// reader that has so many daemons above it in the ranking.
func turnOf(readers int) time.Duration {
	return successionTime - successionTime/time.Duration(max(readers, 1))
}

// maxAge returns how old a reader's knowledge may be for a daemon, by its turn.
func (r reliance) maxAge(turn time.Duration) time.Duration {
	return r.bound - ownReadTime - successionTime + turn
}

// answerInterval returns how often the platform has to answer a reader.
func (r reliance) answerInterval() time.Duration {
	return max(r.maxAge(0)-answerMargin, minAnswerInterval)
}

// urgent reports whether an answer has to be announced at once, since the one before is so
// old that daemons would stop relying on the reader before its next regular announcement.
func (r reliance) urgent(sinceAnswer time.Duration) bool {
	return sinceAnswer+gossipInterval+answerMargin > r.maxAge(0)
}

// NotifyAnswer makes the daemon announce a table to its group at once if that can't wait,
// because the platform has answered a call, for the first time in sinceAnswer.
func (n *Node) NotifyAnswer(table string, sinceAnswer time.Duration) {
	if p := n.proofs[table]; p != nil {
		p.Store(&proof{at: time.Now()})
	}
	if n.relianceOn(table).urgent(sinceAnswer) {
		n.NotifyChange()
	}
}

// proof is what last showed that the daemon's copy of a table had all changes.
type proof struct {
	at time.Time
	// reader is the daemon that has shown it, empty for the platform itself.
	reader string
	// reliesOn is the reader on which the daemon relies until expires.
	reliesOn string
	expires  time.Time
}

// ChangedSince returns the earliest time at which changes of a table may have been made that
// the daemon has just got. Whoever reads for it passes them on at once, but a reader that
// has fallen silent may have missed them for as long as the daemon has relied on it. It
// takes no locks.
func (n *Node) ChangedSince(now time.Time, table string) time.Time {
	p := n.proofs[table].Load()
	if p == nil {
		return now
	}
	source := p.reliesOn
	if !now.Before(p.expires) {
		source = "" // the platform itself
	}
	if source == p.reader {
		return now
	}
	return p.at
}

// recordAnnouncement records that the daemon relies on a reader until expires. complete means
// that the announcement shows that the daemon's copy has all changes as of readAt.
func (n *Node) recordAnnouncement(table, reader string, expires, readAt time.Time, complete bool) {
	next := proof{at: readAt, reader: reader, reliesOn: reader, expires: expires}
	if previous := n.proofs[table].Load(); !complete && previous != nil {
		next.at, next.reader = previous.at, previous.reader
	}
	n.proofs[table].Store(&next)
}

func newProofs(tables map[string]Table) map[string]*atomic.Pointer[proof] {
	out := make(map[string]*atomic.Pointer[proof])
	for name := range tables {
		out[name] = &atomic.Pointer[proof]{}
	}
	return out
}
