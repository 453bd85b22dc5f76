package recordtest

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// lineMerger merges documents of "key=value" lines.
type lineMerger struct{}

func lines(doc []byte) map[string]string {
	m := map[string]string{}
	for line := range strings.Lines(string(doc)) {
		k, v, _ := strings.Cut(strings.TrimSpace(line), "=")
		m[k] = v
	}
	return m
}

func (lineMerger) Merge(base, mine, theirs []byte) ([]byte, []configlog.Conflict) {
	b, m, th := lines(base), lines(mine), lines(theirs)
	var conflicts []configlog.Conflict
	out := theirs
	for k, v := range m {
		switch {
		case b[k] == v || th[k] == v:
		case b[k] != th[k]:
			conflicts = append(conflicts, configlog.Conflict{Path: k, Base: b[k], Mine: v, Theirs: th[k]})
		default:
			out = append(append([]byte(nil), out...), fmt.Sprintf("%s=%s\n", k, v)...)
		}
	}
	return out, conflicts
}

func change(id string, base domain.Revision, content string) configlog.Change {
	return configlog.Change{ID: id, Author: "operator", Base: base, Content: []byte(content)}
}

// history returns the change ids of all revisions, oldest first.
func history(t *testing.T, tab *table) []string {
	t.Helper()
	tab.setPlan(nil)
	records, err := configlog.History(t.Context(), tab, 0, 1000)
	assert.NilError(t, err)
	ids := make([]string, len(records))
	for i, r := range records {
		ids[len(records)-1-i] = r.ChangeID
	}
	return ids
}

// Shows the fault that receipts remove: after a lost answer, a naive proposer
// that reads the head and tries again has its change accepted twice.
func TestNaiveProposalIsAcceptedTwice(t *testing.T) {
	tab := newTable()
	tab.plan = nth(1, lostAfter)
	var err error
	for range 2 {
		rows, _ := tab.Get(t.Context(), "head")
		var expect ports.Version
		if len(rows) > 0 {
			expect = rows[0].Version
		}
		_, err = tab.Commit(t.Context(), ports.Write{Key: "head", Expect: expect}, ports.Write{Key: fmt.Sprint("rev/", expect+1)})
	}
	assert.NilError(t, err)
	assert.Equal(t, len(tab.rows), 3) // the head and two revisions
}

// Guards against a change that is lost or applied twice when any one call of
// a proposal fails in any way and the operator repeats the proposal through
// another daemon.
func TestProposeOnceUnderEachFaultAtEachStep(t *testing.T) {
	for step := range 6 {
		for f := none; f < faultsCount; f++ {
			t.Run(fmt.Sprintf("step %d fault %d", step, f), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					tab := newTable()
					p := configlog.NewProposer(tab, lineMerger{}, seeder(t))
					first, err := p.Propose(t.Context(), change("a", 0, "x=1\n"))
					assert.NilError(t, err)
					tab.setPlan(nth(step, f))
					got, err := p.Propose(t.Context(), change("b", first.Document.Revision, "x=2\n"))
					assert.NilError(t, err)
					assert.Equal(t, got.Document.Revision, domain.Revision(2))
					again, err := configlog.NewProposer(tab, lineMerger{}, seeder(t)).Propose(t.Context(), change("b", 1, "x=2\n"))
					assert.NilError(t, err)
					assert.Assert(t, again.Repeated)
					assert.Equal(t, again.Document.Revision, domain.Revision(2))
					time.Sleep(2 * lateness)
					assert.DeepEqual(t, history(t, tab), []string{"a", "b"})
				})
			})
		}
	}
}

// Guards against a lost or doubled change when the proposing daemon dies at
// any step and the operator repeats the proposal through another daemon.
func TestProposeOnceAfterCrashAtEachStep(t *testing.T) {
	for step := range 5 {
		for _, f := range []fault{none, lostBefore, lostAfter, late} {
			virtualtime.Test(t, func(t *testing.T) {
				tab := newTable()
				ctx, crash := context.WithCancel(t.Context())
				plan := nth(step, f)
				calls := 0
				tab.setPlan(func(op string) fault {
					if calls == step {
						crash()
					}
					calls++
					return plan(op)
				})
				_, _ = configlog.NewProposer(tab, lineMerger{}, seeder(t)).Propose(ctx, change("a", 0, "x=1\n"))
				tab.setPlan(nil)
				got, err := configlog.NewProposer(tab, lineMerger{}, seeder(t)).Propose(t.Context(), change("a", 0, "x=1\n"))
				assert.NilError(t, err)
				assert.Equal(t, got.Document.Revision, domain.Revision(1))
				time.Sleep(2 * lateness)
				assert.DeepEqual(t, history(t, tab), []string{"a"})
				crash()
			})
		}
	}
}

// Guards against lost updates, gaps and double revisions when operators race
// through several daemons while answers are lost, delayed or refused.
func TestRacingProposals(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tab := newTable()
		tab.latency = 3 * time.Millisecond
		rng := seeder(t)()
		tab.plan = func(op string) fault {
			if op == "commit" && rng.IntN(3) == 0 {
				return fault(rng.IntN(int(faultsCount)))
			}
			return none
		}
		var wg sync.WaitGroup
		for i := range 12 {
			p := configlog.NewProposer(tab, lineMerger{}, seeder(t))
			for range 2 { // each change is proposed through two daemons
				wg.Go(func() {
					got, err := p.Propose(t.Context(), change(fmt.Sprint(i), 0, fmt.Sprintf("key%d=1\n", i)))
					assert.NilError(t, err)
					assert.Assert(t, got.Accepted())
				})
			}
		}
		wg.Wait()
		time.Sleep(2 * lateness)
		assert.Equal(t, len(history(t, tab)), 12)
		doc, err := configlog.ReadRevision(t.Context(), tab, 12)
		assert.NilError(t, err)
		assert.Equal(t, len(lines(doc.Content)), 12)
	})
}

// Guards against a conflict that hides one of the two sides, against reuse of
// a change id, and against a report of "not accepted" while a commit may
// still take effect.
func TestProposalReports(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tab := newTable()
		p := configlog.NewProposer(tab, lineMerger{}, seeder(t))
		_, err := p.Propose(t.Context(), change("a", 0, "x=1\n"))
		assert.NilError(t, err)
		got, err := p.Propose(t.Context(), change("b", 0, "x=2\n"))
		assert.NilError(t, err)
		assert.DeepEqual(t, got.Conflicts, []configlog.Conflict{{Path: "x", Mine: "2", Theirs: "1"}})
		_, err = p.Propose(t.Context(), change("a", 0, "x=3\n"))
		assert.ErrorIs(t, err, configlog.ErrChangeIDReused)

		tab.setPlan(func(op string) fault {
			if op == "commit" {
				return late
			}
			return none
		})
		ctx, cancel := context.WithTimeout(t.Context(), lateness/2)
		defer cancel()
		_, err = p.Propose(ctx, change("c", 1, "x=4\n"))
		assert.Assert(t, errors.Is(err, ports.ErrUnknownOutcome), "got %v", err)
		time.Sleep(2 * lateness)
		tab.setPlan(nil)
		got, err = p.Propose(t.Context(), change("c", 1, "x=4\n"))
		assert.NilError(t, err)
		assert.Assert(t, got.Repeated)
	})
}

// Guards against content that compaction makes unreadable, and against a
// roll-forward that rewrites history instead of adding to it.
func TestCompactionAndRollForward(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tab := newTable()
		p := configlog.NewProposer(tab, lineMerger{}, seeder(t))
		for r := range 150 {
			_, err := p.Propose(t.Context(), change(fmt.Sprint(r+1), domain.Revision(r), fmt.Sprintf("x=%d\n", r+1)))
			assert.NilError(t, err)
			time.Sleep(time.Hour)
		}
		assert.NilError(t, configlog.Compact(t.Context(), tab, configlog.Retention{Deltas: 10, History: 100 * time.Hour}))
		records, err := configlog.History(t.Context(), tab, 0, 1000)
		assert.NilError(t, err)
		assert.Equal(t, len(records), 100)
		for _, r := range records {
			assert.Equal(t, r.Delta != nil, r.Revision > 140)
			doc, err := configlog.ReadRevision(t.Context(), tab, r.Revision)
			assert.NilError(t, err)
			assert.Equal(t, string(doc.Content), fmt.Sprintf("x=%d\n", r.Revision))
		}
		got, err := p.RollForward(t.Context(), 60, configlog.Change{ID: "back", Author: "operator"})
		assert.NilError(t, err)
		assert.Equal(t, got.Document.Revision, domain.Revision(151))
		assert.Equal(t, string(got.Document.Content), "x=60\n")
		_, err = p.RollForward(t.Context(), 1, configlog.Change{ID: "gone", Author: "operator"})
		assert.ErrorIs(t, err, configlog.ErrBaseUnknown)
		time.Sleep(1000 * time.Hour)
		assert.NilError(t, configlog.Compact(t.Context(), tab, configlog.Retention{History: time.Hour}))
		assert.DeepEqual(t, history(t, tab), []string{"back"}) // the head stays
	})
}
