package dev

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
)

// startInOutage starts three daemons of one region and, after the platform
// failed, a fourth. crashed of the three do not answer.
func startInOutage(t *testing.T, crashed int) (fourth *Member, revision domain.Revision) {
	network := newCrashNetwork()
	fleet := startFleet(t, Options{Daemons: 3, Region: "north-coast", Network: network})
	waitFor(t, 10*time.Second, "every daemon sees the others", fleet.meshComplete)
	revision = fleet.relabel(t, "outage")
	waitFor(t, spreadBound, "revision in force", func() bool { return fleet.allAt(revision) })
	fleet.Platform.SetFaults(platform.Faults{Down: []platform.Service{platform.ServiceTable, platform.ServiceObjects, platform.ServiceVMs}})
	for _, m := range fleet.Members[:crashed] {
		network.crash(m.ID)
	}
	fourth, err := fleet.StartDaemon(3, "daemon-4")
	assert.NilError(t, err)
	return fourth, revision
}

// Guards against daemons that cannot be replaced while the platform is down,
// and against one that starts with an old configuration.
func TestStartsFromPeers(t *testing.T) {
	fourth, revision := startInOutage(t, 1)
	waitFor(t, 15*time.Second, "fourth daemon is ready", func() bool { ok, _ := fourth.Gateway().Ready(); return ok })
	assert.Equal(t, fourth.Revision(), revision)
	waitFor(t, 10*time.Second, "fourth daemon sees its peers", func() bool { return len(fourth.Roster().Entries()) >= 3 })
}

// Guards against a daemon that serves with what a minority of its region
// knows, also when that minority suspects the others.
func TestMinorityKeepsUnready(t *testing.T) {
	fourth, _ := startInOutage(t, 2)
	waitFor(t, 10*time.Second, "reason is known", func() bool {
		_, reason := fourth.Gateway().Ready()
		return strings.Contains(reason, "1 of 3 live daemons")
	})
	time.Sleep(5 * time.Second) // silent peers are suspected after 3 s
	ok, reason := fourth.Gateway().Ready()
	assert.Assert(t, !ok)
	assert.Assert(t, strings.Contains(reason, "1 of 3 live daemons"), reason)
}

// Guards against a daemon that is cut off and still looks ready to the load
// balancer, although it starts no new work.
func TestCutOffDaemonBecomesUnready(t *testing.T) {
	network := newCrashNetwork()
	fleet := startFleet(t, Options{Daemons: 3, Network: network})
	waitFor(t, 10*time.Second, "every daemon sees the others", fleet.meshComplete)
	cut := fleet.Members[0]
	network.crash(cut.ID)
	waitFor(t, 15*time.Second, "the daemon is unready", func() bool {
		ok, reason := cut.Gateway().Ready()
		return !ok && strings.Contains(reason, "neither the platform nor a peer")
	})
}
