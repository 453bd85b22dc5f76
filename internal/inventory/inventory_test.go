package inventory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
)

const grace = 2 * time.Second

var start = time.Unix(1_800_000_000, 0)

func registration(id string, incarnation int) Registration {
	return Registration{ID: domain.UpstreamID(id), Service: "app", Address: "host-" + id, Incarnation: domain.Incarnation(incarnation)}
}

// anyService is a configuration that names all services.
func anyService(string) bool { return true }

func stateOf(v *Inventory, id string) (State, bool) {
	for _, e := range v.Entries(anyService) {
		if string(e.ID) == id {
			return e.State, true
		}
	}
	return 0, false
}

// Guards against an upstream that stays in the list forever after it has left, and
// against losing upstreams whose registrations lapse for a moment.
func TestRemoval(t *testing.T) {
	v := New(grace)
	v.Register(start, registration("a", 1))
	v.Remove(start, "a")
	got, known := stateOf(v, "a")
	assert.Assert(t, known)
	assert.Equal(t, got, Unlisted)

	v.Remove(start.Add(grace-1), "a") // a second removal does not extend the grace period
	at, pending := v.NextExpiry()
	assert.Assert(t, pending)
	assert.Equal(t, at, start.Add(grace))
	assert.Assert(t, !v.Expire(start.Add(grace-1)))
	assert.Assert(t, v.Expire(start.Add(grace)))
	_, known = stateOf(v, "a")
	assert.Assert(t, !known)

	v.Register(start, registration("b", 1))
	v.Remove(start, "b")
	v.Register(start, registration("b", 1))
	got, _ = stateOf(v, "b")
	assert.Equal(t, got, Serving)
	assert.Assert(t, !v.Expire(start.Add(time.Hour)))
}

// Guards against a late registration of an earlier incarnation that replaces a later
// one, and against requests to a draining upstream once its registration is removed.
func TestIncarnationsAndDraining(t *testing.T) {
	v := New(grace)
	v.Register(start, registration("a", 2))
	old := registration("a", 1)
	old.Draining = true
	v.Register(start, old)
	got, _ := stateOf(v, "a")
	assert.Equal(t, got, Serving)

	draining := registration("a", 2)
	draining.Draining = true
	v.Register(start, draining)
	v.Remove(start, "a")
	got, _ = stateOf(v, "a")
	assert.Equal(t, got, Draining)
	v.Register(start, registration("a", 3))
	got, _ = stateOf(v, "a")
	assert.Equal(t, got, Serving)
}

// Guards against requests to a draining upstream after the platform was restored from a
// copy in which the upstream is not draining yet.
func TestEarlierRegistrationEndsNoDraining(t *testing.T) {
	v := New(grace)
	draining := registration("a", 2)
	draining.Draining, draining.Seq = true, 21
	v.Register(start, draining)
	restored := registration("a", 2)
	restored.Seq = 1
	v.Register(start, restored)
	got, _ := stateOf(v, "a")
	assert.Equal(t, got, Draining)
	v.Replace(start, []Registration{restored})
	got, _ = stateOf(v, "a")
	assert.Equal(t, got, Draining)
	again := registration("a", 3) // a later start counts anew
	again.Seq = 1
	v.Register(start, again)
	got, _ = stateOf(v, "a")
	assert.Equal(t, got, Serving)
}

// Guards against upstreams that stay listed although a complete list lacks them.
func TestReplace(t *testing.T) {
	v := New(grace)
	v.Replace(start, []Registration{registration("a", 1), registration("b", 1)})
	v.Replace(start, []Registration{registration("b", 1), registration("c", 1)})
	got, _ := stateOf(v, "a")
	assert.Equal(t, got, Unlisted)
	v.Expire(start.Add(grace))
	assert.Equal(t, len(v.Entries(anyService)), 2)
}

// Guards against requests to a process that has crashed and whose address a later
// process reuses. The first registration lasts until some heartbeats are missed, and
// the two may arrive in either order.
func TestAddressReusedByLaterProcess(t *testing.T) {
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		v := New(grace)
		both := []Registration{registration("before", 1), registration("after", 2)}
		both[1].Address = both[0].Address
		both[1].Service = "other"
		both[0].TableVersion, both[1].TableVersion = 10, 20
		for _, i := range order {
			v.Register(start, both[i])
		}
		got, _ := stateOf(v, "before")
		assert.Equal(t, got, Superseded)
		got, _ = stateOf(v, "after")
		assert.Equal(t, got, Serving)

		// Neither its removal nor a late heartbeat makes it usable again.
		v.Remove(start, "before")
		got, _ = stateOf(v, "before")
		assert.Equal(t, got, Superseded)
		v.Register(start, both[0])
		got, _ = stateOf(v, "before")
		assert.Equal(t, got, Superseded)
	}
}

// Guards against a live process that gets no requests because the clock of its VM was
// set back between two starts, so that its predecessor seems to have started later.
func TestClockSetBackDoesNotSupersede(t *testing.T) {
	v := New(grace)
	before, after := registration("before", 2), registration("after", 1)
	after.Address = before.Address
	before.TableVersion, after.TableVersion = 10, 20
	v.Register(start, before)
	v.Register(start, after)
	for _, id := range []string{"before", "after"} {
		got, _ := stateOf(v, id)
		assert.Equal(t, got, Serving, id)
	}
}

// Guards against sound upstreams that get no requests after an outage of the platform:
// their registrations lapsed meanwhile and take two seconds to come back.
func TestLapsedUpstreamsAreKeptLonger(t *testing.T) {
	v := New(grace)
	v.Register(start, registration("a", 1))
	v.Register(start, registration("b", 1))
	v.Remove(start.Add(-time.Second), "b") // removed before the outage
	v.KeepRemovedUntil(start.Add(grace + time.Second))
	v.Remove(start, "a")
	assert.Assert(t, v.Expire(start.Add(grace)))
	_, known := stateOf(v, "b")
	assert.Assert(t, !known)
	_, known = stateOf(v, "a")
	assert.Assert(t, known)
	at, pending := v.NextExpiry()
	assert.Assert(t, pending)
	assert.Equal(t, at, start.Add(grace+time.Second))
	assert.Assert(t, v.Expire(at), "an upstream that has not registered again is gone")
}

// Guards against an announced slow start that is not brought up to date, and against one that
// changes the state of the upstream.
func TestSlowStartChanges(t *testing.T) {
	v := New(grace)
	for i, left := range []time.Duration{9 * time.Second, 4 * time.Second, 0} {
		r := registration("a", 1)
		r.SlowStart, r.TableVersion = left, ports.Version(i+1)
		v.Register(start, r)
		assert.DeepEqual(t, v.Entries(anyService), []Entry{{Registration: r, State: Serving}})
		_, pending := v.NextExpiry()
		assert.Assert(t, !pending)
	}
}

// onlyApp is a configuration that names one service.
func onlyApp(service string) bool { return service == "app" }

func entryOf(t *testing.T, v *Inventory, id string, configured func(string) bool) Entry {
	t.Helper()
	for _, e := range v.Entries(configured) {
		if string(e.ID) == id {
			return e
		}
	}
	t.Fatalf("%s is not in the list", id)
	return Entry{}
}

// Guards against a sound upstream that gets no requests because another writer has listed
// its address under a service that no configuration names.
func TestUnconfiguredServiceSupersedesNobody(t *testing.T) {
	v := New(grace)
	own, foreign := registration("a", 1), registration("pool-member", 2)
	foreign.Service, foreign.Address = "old-pool", own.Address
	own.TableVersion, foreign.TableVersion = 10, 20
	v.Register(start, own)
	v.Register(start, foreign)
	assert.Equal(t, entryOf(t, v, "a", onlyApp).State, Serving)

	// The registration counts from the configuration that names its service until one
	// that does not.
	assert.Equal(t, entryOf(t, v, "a", anyService).State, Superseded)
	assert.Equal(t, entryOf(t, v, "pool-member", anyService).State, Serving)
	assert.Equal(t, entryOf(t, v, "a", onlyApp).State, Serving)
}

// Guards against an upstream whose registrations are ignored for good after another writer
// has overwritten one for a moment, with a start that never was.
func TestOverwrittenRegistrationComesBack(t *testing.T) {
	v := New(grace)
	own, foreign := registration("a", 1), registration("a", 2)
	foreign.Service, foreign.Address = "old-pool", "host-of-another"
	foreign.Draining = true
	v.Register(start, own)
	v.Register(start, foreign)
	e := entryOf(t, v, "a", onlyApp)
	assert.Equal(t, e.State, Unlisted)
	assert.Equal(t, e.Address, own.Address)
	assert.Equal(t, e.Incarnation, own.Incarnation)

	own.Seq++
	v.Register(start.Add(time.Second), own)
	assert.DeepEqual(t, entryOf(t, v, "a", onlyApp), Entry{Registration: own, State: Serving})
	v.Expire(start.Add(time.Second + grace))
	assert.DeepEqual(t, v.Entries(anyService), []Entry{{Registration: own, State: Serving}})
}

// Guards against an overwritten upstream that stays in the list forever, and against
// requests to a draining one whose registration is overwritten.
func TestOverwrittenRegistrationExpires(t *testing.T) {
	v := New(grace)
	own, foreign := registration("a", 1), registration("a", 2)
	own.Draining = true
	foreign.Service = "old-pool"
	v.Register(start, own)
	v.Replace(start, []Registration{foreign})
	assert.Equal(t, entryOf(t, v, "a", onlyApp).State, Draining)
	assert.Assert(t, v.Expire(start.Add(grace)))
	assert.Equal(t, entryOf(t, v, "a", onlyApp).Service, "old-pool")
}

// Guards against requests for one service to a process that was started again under its ID
// for another one.
func TestProcessMovesToAnotherService(t *testing.T) {
	v := New(grace)
	before, after := registration("a", 1), registration("a", 2)
	after.Service = "other"
	v.Register(start, before)
	v.Register(start, after)
	assert.DeepEqual(t, v.Entries(anyService), []Entry{{Registration: after, State: Serving}})
}

// Guards against requests to a draining upstream that count as a last resort because its
// address has a later process.
func TestDrainingUpstreamIsNotSuperseded(t *testing.T) {
	v := New(grace)
	before, after := registration("before", 1), registration("after", 2)
	before.Draining, after.Address = true, before.Address
	before.TableVersion, after.TableVersion = 10, 20
	v.Register(start, before)
	v.Register(start, after)
	assert.Equal(t, entryOf(t, v, "before", anyService).State, Draining)
}
