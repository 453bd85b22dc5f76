package recordtest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/claims"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// recorder collects the operations of a history.
type recorder struct {
	mu    sync.Mutex
	clock int64
	ops   []porcupine.Operation
}

func (r *recorder) tick() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock++
	return r.clock
}

// do records one operation of a client.
func (r *recorder) do(client int, input any, call func() any) any {
	start := r.tick()
	output := call()
	end := r.tick()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: input, Call: start, Output: output, Return: end})
	return output
}

func (r *recorder) check(t *testing.T, model porcupine.Model) {
	t.Helper()
	result := porcupine.CheckOperationsTimeout(model, r.ops, 20*time.Second)
	assert.Equal(t, result, porcupine.Ok, "%d operations", len(r.ops))
}

type claimInput struct {
	key    string
	finish bool
}

// claimModel is one key: free, claimed or ran. A refused call may leave a
// claim that blocks the key until it is known not to have been dispatched;
// open stands for "free or blocked".
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "free" },
	Step: func(state, input, output any) (bool, any) {
		s := state.(string)
		if input.(claimInput).finish {
			return s == "claimed", "ran"
		}
		switch output.(claims.Verdict) {
		case claims.Granted:
			return s == "free" || s == "open", "claimed"
		case claims.InProgress:
			return s == "claimed" || s == "open", s
		case claims.Replay:
			return s == "ran", s
		case claims.Refused:
			if s == "free" {
				s = "open"
			}
			return true, s
		case claims.Unsettled:
			return true, s
		}
		return false, s
	},
}

// Guards against answers about one key that no order of events explains, such
// as a claim that is granted after a replay.
func TestClaimsAreLinearizable(t *testing.T) {
	var r recorder
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, newTable())
		rng := f.seed()
		f.tab.latency = 2 * time.Millisecond
		f.tab.plan = func(string) fault {
			if rng.IntN(3) == 0 {
				return fault(rng.IntN(int(faultsCount)))
			}
			return none
		}
		var daemons []*claims.Claims
		var wg sync.WaitGroup
		for i := range 6 {
			d := f.daemon(fmt.Sprint(i), nil)
			daemons = append(daemons, d)
			wg.Go(func() {
				for k := range 60 {
					key := fmt.Sprint(k / 3)
					var decision claims.Decision
					r.do(i, claimInput{key: key}, func() any {
						decision = d.Begin(t.Context(), f.request(claims.Key{Customer: "c", Key: key}, "body"))
						return decision.Verdict
					})
					if decision.Verdict == claims.Granted {
						r.do(i, claimInput{key: key, finish: true}, func() any {
							return d.Finish(t.Context(), decision.Grant, claims.StateRan, nil)
						})
					}
				}
			})
		}
		wg.Wait()
		closeAll(daemons...)
	})
	r.check(t, claimModel)
}

// configModel is the list of accepted change ids. Proposing an id appends it
// once; reading returns the length.
var configModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		log := strings.Fields(state.(string))
		id := input.(string)
		revision := output.(int)
		if id == "" {
			return revision == len(log), state
		}
		if at := slices.Index(log, id); at >= 0 {
			return revision == at+1, state
		}
		return revision == len(log)+1, state.(string) + " " + id
	},
}

// Guards against revisions whose numbers no order of proposals and reads
// explains, such as a head that goes back.
func TestConfigurationLogIsLinearizable(t *testing.T) {
	var r recorder
	virtualtime.Test(t, func(t *testing.T) {
		tab := newTable()
		tab.latency = 2 * time.Millisecond
		rng := seeder(t)()
		tab.plan = func(op string) fault {
			if op == "commit" && rng.IntN(2) == 0 {
				return fault(rng.IntN(int(faultsCount)))
			}
			return none
		}
		var wg sync.WaitGroup
		for i := range 5 {
			p := configlog.NewProposer(tab, lineMerger{}, seeder(t))
			wg.Go(func() {
				for n := range 5 {
					id := fmt.Sprint((i + n) % 8) // several clients propose each change
					r.do(i, id, func() any {
						got, err := p.Propose(t.Context(), change(id, 0, "key"+id+"=1\n"))
						assert.NilError(t, err)
						return int(got.Document.Revision)
					})
					r.do(i, "", func() any {
						records, err := configlog.History(t.Context(), tab, 0, 1)
						assert.NilError(t, err)
						return int(records[0].Revision)
					})
				}
			})
		}
		wg.Wait()
		time.Sleep(2 * lateness)
	})
	r.check(t, configModel)
}
