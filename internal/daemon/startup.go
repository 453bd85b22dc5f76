package daemon

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/peerws"
	"github.com/auburndyke/auburndyke/internal/backoff"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/mesh"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const (
	// askFloor is the shortest time between two rounds of questions; a random
	// part of up to askSpread is added. The first round comes after one such
	// wait, in which a platform that is up makes the daemon ready.
	askFloor  = 500 * time.Millisecond
	askSpread = time.Second
	// askParallel is the number of peers asked at once.
	askParallel = 16
)

// StartupHandler answers daemons that start during an outage of the platform.
// It belongs to the peer listener, under peerws.StartupPath.
func (d *Daemon) StartupHandler() http.Handler { return peerws.StartupHandler(d.startupAnswer) }

func (d *Daemon) startupAnswer(q peerws.StartupQuestion) peerws.StartupAnswer {
	doc := d.watcher.InForce()
	answer := peerws.StartupAnswer{
		Peer:     d.cluster.member(),
		Ready:    d.watcher.Readiness().Ready,
		Revision: doc.Revision,
		Roster:   d.cluster.inRegion(q.Region),
	}
	if doc.Revision > q.Have {
		answer.Document = &doc
	}
	return answer
}

// inRegion lists the live and suspected daemons of a region. Suspects count,
// because they may be alive behind a broken link: without them a daemon that
// hears nobody would be a majority by itself.
func (c *cluster) inRegion(region domain.Region) []ports.Member {
	var members []ports.Member
	for _, m := range c.view.Load().Members() {
		if m.Region == region {
			members = append(members, m)
		}
	}
	return members
}

// member describes this run of the daemon.
func (c *cluster) member() ports.Member {
	m := c.self
	m.Incarnation = domain.Incarnation(c.incarnation.Load())
	return m
}

// askLoop asks the seeds and the daemons that they name, until this daemon is
// ready.
func (d *Daemon) askLoop(ctx context.Context) error {
	rng := d.rng()
	for {
		if !backoff.Sleep(ctx, askFloor+time.Duration(rng.Int64N(int64(askSpread)))) {
			return nil
		}
		if d.watcher.Readiness().Ready {
			<-ctx.Done()
			return nil
		}
		d.askRound(ctx)
	}
}

// askRound asks every seed and then every daemon of the region that an answer
// names. Seeds are asked one after the other, so that the document usually
// travels once.
func (d *Daemon) askRound(ctx context.Context) {
	known := make(map[domain.DaemonID]ports.Member)
	asked := map[domain.DaemonID]bool{d.cfg.ID: true}
	for _, address := range d.cfg.Seeds {
		if address == d.cfg.PeerAddress {
			continue
		}
		answer, ok := d.ask(ctx, address)
		if !ok {
			continue
		}
		asked[answer.Peer.Daemon] = true
		note(known, answer)
	}
	for next := unasked(known, asked); len(next) > 0 && ctx.Err() == nil; next = unasked(known, asked) {
		for _, answer := range d.askAll(ctx, next, asked) {
			note(known, answer)
		}
	}
	d.cluster.rosterHeard(known)
}

// note adds the daemons that an answer names.
func note(known map[domain.DaemonID]ports.Member, answer peerws.StartupAnswer) {
	for _, m := range append(slices.Clone(answer.Roster), answer.Peer) {
		if m.Incarnation >= known[m.Daemon].Incarnation {
			known[m.Daemon] = m
		}
	}
}

func unasked(known map[domain.DaemonID]ports.Member, asked map[domain.DaemonID]bool) []ports.Member {
	var next []ports.Member
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if !asked[id] && known[id].Address != "" {
			next = append(next, known[id])
		}
	}
	return next
}

func (d *Daemon) askAll(ctx context.Context, members []ports.Member, asked map[domain.DaemonID]bool) []peerws.StartupAnswer {
	var mu sync.Mutex
	var work sync.WaitGroup
	var answers []peerws.StartupAnswer
	slots := make(chan struct{}, askParallel)
	for _, m := range members {
		asked[m.Daemon] = true
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			answer, ok := d.ask(ctx, m.Address)
			if !ok || answer.Peer.Daemon != m.Daemon {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, answer)
		})
	}
	work.Wait()
	return answers
}

// ask asks one address and hands the answer to the configuration log.
func (d *Daemon) ask(ctx context.Context, address string) (peerws.StartupAnswer, bool) {
	question := peerws.StartupQuestion{Region: d.cfg.Region, Have: d.Revision()}
	answer, err := d.cfg.Asker.Ask(ctx, address, question)
	if err != nil || answer.Peer.Daemon == d.cfg.ID {
		return peerws.StartupAnswer{}, false
	}
	live := make([]domain.DaemonID, len(answer.Roster))
	for i, m := range answer.Roster {
		live[i] = m.Daemon
	}
	d.watcher.PeerAnswered(ctx, configlog.PeerAnswer{
		Peer:     answer.Peer.Daemon,
		Region:   answer.Peer.Region,
		Ready:    answer.Ready,
		Revision: answer.Revision,
		Roster:   live,
		Document: answer.Document,
	})
	return answer, true
}

// rosterHeard lets the mesh connect to the daemons that peers named, as long
// as membership knows none itself.
func (c *cluster) rosterHeard(known map[domain.DaemonID]ports.Member) {
	if len(known) == 0 {
		return
	}
	members := []ports.Member{c.self}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		if id != c.self.Daemon {
			members = append(members, known[id])
		}
	}
	c.mailbox.post(func() {
		if len(c.view.Load().Members()) <= 1 {
			c.submit(mesh.RosterChanged{Members: members})
		}
	})
}
