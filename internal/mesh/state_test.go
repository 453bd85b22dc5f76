package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

var kinds = []ports.FactKind{
	ports.FactRevision, ports.FactUpstreamServing, ports.FactUpstreamLeaving, ports.FactUpstreamGone,
	ports.FactDaemonJoined, ports.FactDaemonGone, ports.FactDrainAck, ports.FactDaemonTrusted, ports.FactDaemonSuspect,
}

// anyFact draws from few subjects and numbers, so that facts collide.
func anyFact(t *rapid.T) ports.Fact {
	small := rapid.Uint64Range(1, 3)
	f := ports.Fact{Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Stamp: rapid.Uint32Range(100, 103).Draw(t, "stamp")}
	switch f.Kind {
	case ports.FactRevision:
		f.Revision = domain.Revision(small.Draw(t, "revision"))
		f.Digest = small.Draw(t, "digest")
		return f
	case ports.FactUpstreamServing, ports.FactUpstreamLeaving, ports.FactUpstreamGone, ports.FactDrainAck:
		f.Upstream = domain.UpstreamID(fmt.Sprintf("u%d", small.Draw(t, "upstream")))
		f.Incarnation = domain.Incarnation(small.Draw(t, "incarnation"))
		f.Epoch = small.Draw(t, "epoch")
	}
	if f.Kind >= ports.FactDaemonJoined {
		f.Member = &ports.Member{
			Daemon:      domain.DaemonID(fmt.Sprintf("d%d", small.Draw(t, "daemon"))),
			Incarnation: domain.Incarnation(small.Draw(t, "run")),
		}
	}
	if f.Kind >= ports.FactDrainAck {
		f.Seq = small.Draw(t, "seq")
	}
	return f
}

func merged(groups ...[]ports.Fact) *State {
	s := NewState()
	for _, g := range groups {
		for _, f := range g {
			s.Merge(f)
		}
	}
	return s
}

// Guards against a merge whose result depends on order, grouping or repetition
// of facts, which would leave daemons with different views for ever.
func TestMergeIsJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		facts := rapid.SliceOfN(rapid.Custom(anyFact), 0, 20).Draw(t, "facts")
		want := merged(facts)
		shuffled := rapid.Permutation(facts).Draw(t, "shuffled")
		repeated := merged(shuffled, facts, shuffled)
		assert.DeepEqual(t, repeated.Facts(), want.Facts())
		assert.Equal(t, repeated.Hash(), want.Hash())
		cut := rapid.IntRange(0, len(facts)).Draw(t, "cut")
		left, right := merged(facts[:cut]), merged(facts[cut:])
		joined := merged(right.Facts(), left.Facts())
		assert.DeepEqual(t, joined.Facts(), want.Facts())
		assert.Assert(t, !joined.Merge(ports.Fact{Kind: 99}))
	})
}

// Guards against an acknowledgement that is lost because one of an older drain
// but a newer daemon run replaced it and was then dropped itself (found by
// TestMergeIsJoin with rapid.seed=9463023646436366380).
func TestAckOfNewerDrainOutlivesOlder(t *testing.T) {
	ack := func(incarnation, run domain.Incarnation) ports.Fact {
		return ports.Fact{
			Kind: ports.FactDrainAck, Upstream: "u", Incarnation: incarnation, Epoch: 1, Seq: 1,
			Member: &ports.Member{Daemon: "d", Incarnation: run},
		}
	}
	gone := ports.Fact{Kind: ports.FactUpstreamGone, Upstream: "u", Incarnation: 1, Epoch: 1}
	older, newer := ack(1, 2), ack(2, 1)
	for _, order := range [][]ports.Fact{{older, newer, gone}, {newer, older, gone}, {gone, older, newer}, {older, gone, newer}} {
		assert.DeepEqual(t, merged(order).Acks("u"), []ports.Fact{newer})
	}
	restarted := ports.Fact{Kind: ports.FactDaemonJoined, Member: &ports.Member{Daemon: "d", Incarnation: 2}}
	assert.DeepEqual(t, merged([]ports.Fact{older, newer, restarted}).Acks("u"), []ports.Fact{older})
}

// Guards against concurrent orders for one upstream that resolve to serving.
func TestLeavingWinsTie(t *testing.T) {
	leaving := ports.Fact{Kind: ports.FactUpstreamLeaving, Upstream: "u", Epoch: 2}
	serving := ports.Fact{Kind: ports.FactUpstreamServing, Upstream: "u", Epoch: 2}
	for _, s := range []*State{merged([]ports.Fact{leaving, serving}), merged([]ports.Fact{serving, leaving})} {
		f, _ := s.Upstream("u")
		assert.Equal(t, f.Kind, ports.FactUpstreamLeaving)
	}
}

// Guards against anti-entropy that misses a difference or sends everything for
// a small one.
func TestDigestFindsDifference(t *testing.T) {
	a, b := NewState(), NewState()
	for i := range 3000 {
		f := ports.Fact{Kind: ports.FactUpstreamLeaving, Upstream: domain.UpstreamID(fmt.Sprintf("u%d", i)), Epoch: 1}
		a.Merge(f)
		if i != 1234 {
			b.Merge(f)
		}
	}
	assert.Assert(t, a.Hash() != b.Hash())
	diff := a.Differing(b.Buckets())
	assert.Assert(t, len(diff) < 40, "%d facts for one difference", len(diff))
	for _, f := range diff {
		b.Merge(f)
	}
	assert.Equal(t, a.Hash(), b.Hash())
}

// Guards against facts that stay for ever and against an old fact that brings
// back a daemon whose end was already collected.
func TestCollectDoesNotResurrect(t *testing.T) {
	start := time.Unix(1_000_000_000, 0)
	m := ports.Member{Daemon: "d", Incarnation: 4}
	joined := ports.Fact{Kind: ports.FactDaemonJoined, Member: &m, Stamp: StampAt(start)}
	gone := ports.Fact{Kind: ports.FactDaemonGone, Member: &m, Stamp: StampAt(start.Add(time.Hour))}
	s := merged([]ports.Fact{joined, gone})
	s.Collect(start.Add((RetentionHours + 1) * time.Hour))
	assert.Equal(t, s.Len(), 1)
	s.Collect(start.Add((RetentionHours + 2) * time.Hour))
	assert.Equal(t, s.Len(), 0)
	assert.Assert(t, !s.Merge(joined))
	assert.Equal(t, s.Hash(), NewState().Hash())
}

func roster(n int) []ports.Member {
	out := make([]ports.Member, n)
	for i := range out {
		zone := i % 7
		out[i] = ports.Member{
			Daemon:      domain.DaemonID(fmt.Sprintf("daemon-%03d", i)),
			Incarnation: 1,
			Address:     fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Region:      domain.Region(fmt.Sprintf("region-%d", zone%3)),
			Zone:        domain.AvailabilityZone(fmt.Sprintf("zone-%d", zone)),
		}
	}
	return out
}

func edges(members []ports.Member) map[domain.DaemonID][]domain.DaemonID {
	out := map[domain.DaemonID][]domain.DaemonID{}
	for _, m := range members {
		for _, p := range Graph(members, m.Daemon) {
			out[m.Daemon] = append(out[m.Daemon], p.Daemon)
		}
	}
	return out
}

// reachable counts the daemons that the first survivor reaches over survivors.
func reachable(members []ports.Member, links map[domain.DaemonID][]domain.DaemonID, lost func(ports.Member) bool) (got, want int) {
	alive := map[domain.DaemonID]bool{}
	var todo []domain.DaemonID
	for _, m := range members {
		if !lost(m) {
			alive[m.Daemon] = true
			todo = []domain.DaemonID{m.Daemon}
		}
	}
	seen := map[domain.DaemonID]bool{todo[0]: true}
	for len(todo) > 0 {
		id := todo[0]
		todo = todo[1:]
		for _, p := range links[id] {
			if alive[p] && !seen[p] {
				seen[p] = true
				todo = append(todo, p)
			}
		}
	}
	return len(seen), len(alive)
}

// Guards against one-sided edges, overloaded daemons, and a graph that falls
// apart when a zone or a few daemons fail.
func TestGraph(t *testing.T) {
	for _, n := range []int{2, 8, 32, 128, 330} {
		members := roster(n)
		links := edges(members)
		total, highest := 0, 0
		for id, peers := range links {
			total += len(peers)
			highest = max(highest, len(peers))
			for _, p := range peers {
				assert.Assert(t, slices.Contains(links[p], id), "%s has %s but not the reverse", id, p)
			}
		}
		mean := float64(total) / float64(n)
		t.Logf("%d daemons: mean degree %.2f, highest %d", n, mean, highest)
		assert.Assert(t, float64(highest) <= 2.5*mean+1, "degree %d, mean %.1f", highest, mean)
		for zone := range 7 {
			name := domain.AvailabilityZone(fmt.Sprintf("zone-%d", zone))
			if n > 8 {
				got, want := reachable(members, links, func(m ports.Member) bool { return m.Zone == name })
				assert.Equal(t, got, want, "%d daemons without %s", n, name)
			}
		}
	}
	members := roster(128)
	links := edges(members)
	rapid.Check(t, func(t *rapid.T) {
		lost := rapid.SliceOfNDistinct(rapid.IntRange(0, 127), 2, 2, rapid.ID[int]).Draw(t, "lost")
		got, want := reachable(members, links, func(m ports.Member) bool {
			return m.Daemon == members[lost[0]].Daemon || m.Daemon == members[lost[1]].Daemon
		})
		assert.Equal(t, got, want)
	})
}

// Guards against a membership change that replaces connections all over.
func TestGraphChangesLittle(t *testing.T) {
	members := roster(330)
	before := edges(members)
	after := edges(slices.Delete(slices.Clone(members), 100, 101))
	changed := 0
	for id, peers := range after {
		for _, p := range peers {
			if !slices.Contains(before[id], p) {
				changed++
			}
		}
	}
	t.Logf("%d edge ends changed by the loss of one of 330", changed)
	assert.Assert(t, changed <= 24)
}
