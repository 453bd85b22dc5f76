package mesh

import (
	"slices"
	"time"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

// maxLoggedChanges bounds the deltas kept for neighbours that lag. At 1,400
// changes a day 128 of them span two hours.
const maxLoggedChanges = 128

// changeLog holds the latest changes and one complete document.
type changeLog struct {
	// have is the revision that was last delivered or announced here.
	have domain.Revision
	// deltas are in ascending order; each one's Base is its predecessor's
	// Revision.
	deltas   []ports.Change
	snapshot ports.Change
}

// fetchState is the one fetch in flight.
type fetchState struct {
	peer domain.DaemonID
	at   time.Time
}

func (l *changeLog) setSnapshot(c ports.Change) {
	if c.Revision >= l.snapshot.Revision && c.Base == 0 {
		l.snapshot = c
	}
}

// add records a change that extends or replaces what is held.
func (l *changeLog) add(c ports.Change) {
	l.have = c.Revision
	if c.Base == 0 {
		l.deltas = nil
		l.setSnapshot(c)
		return
	}
	if k := len(l.deltas); k > 0 && l.deltas[k-1].Revision != c.Base {
		l.deltas = nil
	}
	l.deltas = append(l.deltas, c)
	if len(l.deltas) > maxLoggedChanges {
		l.deltas = slices.Delete(l.deltas, 0, len(l.deltas)-maxLoggedChanges)
	}
}

// behind returns the changes that lead from revision have to the latest one
// known here: deltas if they connect, otherwise the complete document and the
// deltas on top of it.
func (l *changeLog) behind(have domain.Revision) []ports.Change {
	if have >= l.have {
		return nil
	}
	if out, ok := l.from(have); ok {
		return out
	}
	if l.snapshot.Revision <= have {
		return nil
	}
	rest, _ := l.from(l.snapshot.Revision)
	return append([]ports.Change{l.snapshot}, rest...)
}

func (l *changeLog) from(base domain.Revision) ([]ports.Change, bool) {
	i := slices.IndexFunc(l.deltas, func(c ports.Change) bool { return c.Base == base })
	if i < 0 {
		return nil, false
	}
	return l.deltas[i:], true
}

func (n *Node) onLocalChange(now time.Time, c ports.Change) {
	if c.Revision <= n.log.have {
		return
	}
	n.log.add(c)
	n.spreadChange(now, "", c)
}

// onChanges accepts changes that connect to the revision held here.
func (n *Node) onChanges(now time.Time, from domain.DaemonID, changes []ports.Change) {
	for _, c := range changes {
		n.peers[from].revision = max(n.peers[from].revision, c.Revision)
		if c.Revision <= n.log.have || (c.Base != 0 && c.Base != n.log.have) {
			continue
		}
		n.log.add(c)
		n.emit(DeliverChange{Change: c, From: from})
		n.spreadChange(now, from, c)
	}
	if n.fetch.peer == from {
		n.fetch = fetchState{}
	}
	n.fetchMissing(now)
}

// spreadChange pushes a change to all peers that may lack it. The revision
// fact travels in the same frame, so that daemons that cannot use the delta
// know that they must fetch.
func (n *Node) spreadChange(now time.Time, from domain.DaemonID, c ports.Change) {
	fact := ports.Fact{Kind: ports.FactRevision, Revision: c.Revision, Digest: c.Digest}
	n.state.Merge(fact)
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if id == from || !p.connected || p.revision >= c.Revision {
			continue
		}
		if len(c.Document) > maxPushBytes {
			n.send(now, id, ports.Frame{Facts: []ports.Fact{fact}})
			continue
		}
		p.revision = c.Revision
		n.send(now, id, ports.Frame{Changes: []ports.Change{c}})
	}
}

// fetchMissing asks one neighbour that has a higher revision.
func (n *Node) fetchMissing(now time.Time) {
	if n.fetch.peer != "" && now.Sub(n.fetch.at) < fetchTimeout {
		return
	}
	last := n.fetch.peer
	n.fetch = fetchState{}
	for _, id := range n.fetchOrder(last) {
		p := n.peers[id]
		if p.connected && p.revision > n.log.have {
			n.fetch = fetchState{peer: id, at: now}
			n.send(now, id, ports.Frame{Fetch: &ports.Fetch{Have: n.log.have}})
			return
		}
	}
}

// fetchOrder starts behind the peer that was asked last and did not answer.
func (n *Node) fetchOrder(last domain.DaemonID) []domain.DaemonID {
	ids := n.peerIDs()
	i, found := slices.BinarySearch(ids, last)
	if found {
		i++
	}
	return append(slices.Clone(ids[i:]), ids[:i]...)
}

func (n *Node) onFetch(now time.Time, from domain.DaemonID, f ports.Fetch) {
	p := n.peers[from]
	changes := n.log.behind(f.Have)
	switch {
	case f.Answer:
		p.revision = f.Have
		if n.fetch.peer == from {
			n.fetch.at = time.Time{}
			n.fetchMissing(now)
		}
	case len(changes) > 0:
		p.revision = n.log.have
		n.send(now, from, ports.Frame{Changes: changes})
	default:
		p.revision = f.Have
		n.send(now, from, ports.Frame{Fetch: &ports.Fetch{Have: n.log.have, Answer: true}})
	}
}
