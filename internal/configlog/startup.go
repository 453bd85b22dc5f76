package configlog

import (
	"fmt"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Readiness tells whether a daemon may serve.
type Readiness struct {
	Ready bool
	// Reason says why the daemon is unready, or what made it ready.
	Reason string
}

// PeerAnswer is what a peer tells a starting daemon.
type PeerAnswer struct {
	Peer   domain.DaemonID
	Region domain.Region
	// Ready is false while the peer itself has not finished starting. Its
	// answer then counts only for its roster.
	Ready    bool
	Revision domain.Revision
	// Roster lists the live daemons of the starting daemon's region, as the
	// peer knows them.
	Roster []domain.DaemonID
	// Document is the peer's revision in force, when the answer carries it.
	Document *Document
}

// startup decides when a daemon that has just started may serve: with the
// platform's newest revision, or during an outage with the highest revision
// of a majority of the live roster of its region.
type startup struct {
	self           domain.DaemonID
	region         domain.Region
	platformFailed bool
	platformSeen   bool
	platformHead   domain.Revision
	answers        map[domain.DaemonID]PeerAnswer
}

func newStartup(self domain.DaemonID, region domain.Region) startup {
	return startup{self: self, region: region, answers: make(map[domain.DaemonID]PeerAnswer)}
}

func (s *startup) sawPlatform(head domain.Revision) {
	s.platformSeen = true
	s.platformHead = max(s.platformHead, head)
}

func (s *startup) answered(a PeerAnswer) { s.answers[a.Peer] = a }

// judge decides with the given revision in force.
func (s *startup) judge(inForce domain.Revision) Readiness {
	if s.platformSeen {
		return s.judgePlatform(inForce)
	}
	if !s.platformFailed {
		return Readiness{Reason: "no answer from the platform yet"}
	}
	return s.judgePeers(inForce)
}

func (s *startup) judgePlatform(inForce domain.Revision) Readiness {
	if inForce < s.platformHead {
		return Readiness{Reason: fmt.Sprintf("revision %d has not been read yet", s.platformHead)}
	}
	return Readiness{Ready: true, Reason: "started from the platform"}
}

func (s *startup) judgePeers(inForce domain.Revision) Readiness {
	roster, ready, highest := s.count()
	if roster == 0 {
		return Readiness{Reason: "platform unavailable and no peer of the region is known"}
	}
	if 2*ready <= roster {
		return Readiness{Reason: fmt.Sprintf("platform unavailable and %d of %d live daemons of the region have answered", ready, roster)}
	}
	if inForce < highest {
		return Readiness{Reason: fmt.Sprintf("revision %d has not been read from a peer yet", highest)}
	}
	if inForce == 0 {
		return Readiness{Reason: "platform unavailable and no peer has a revision in force"}
	}
	return Readiness{Ready: true, Reason: fmt.Sprintf("started from %d of %d live daemons of the region", ready, roster)}
}

// count returns the size of the live roster of the region without this
// daemon, how many of it have answered ready, and the highest revision among
// all ready answers.
func (s *startup) count() (roster, ready int, highest domain.Revision) {
	live := make(map[domain.DaemonID]bool)
	for _, a := range s.answers {
		for _, d := range a.Roster {
			live[d] = true
		}
		if a.Region == s.region {
			live[a.Peer] = true
		}
	}
	delete(live, s.self)
	for _, a := range s.answers {
		if !a.Ready {
			continue
		}
		highest = max(highest, a.Revision)
		if a.Region == s.region && live[a.Peer] {
			ready++
		}
	}
	return len(live), ready, highest
}
