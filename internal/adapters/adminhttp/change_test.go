package adminhttp_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/adminhttp"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
)

const lessonLabels = "/admin/v1/items/upstreams/lesson-02/labels"

func label(id, base, value string) callOptions {
	return callOptions{token: operatorToken, id: id, base: base, body: `{"set":{"rental":"` + value + `"}}`}
}

// Guards against lost, doubled or silently overwritten changes when operators
// race or repeat a call.
func TestConcurrentChanges(t *testing.T) {
	b := newBench(t, adminhttp.Options{})
	first := b.accepted("PATCH", lessonLabels, label("one", "1", "night"))
	assert.Equal(t, first.Revision, domain.Revision(2))
	assert.Equal(t, first.Changes[0].Fields[0].New, `"night"`)

	again := b.accepted("PATCH", lessonLabels, label("one", "1", "night"))
	assert.Assert(t, again.Repeated)
	assert.Equal(t, again.Revision, first.Revision)

	merged := b.accepted("PUT", "/admin/v1/items/customers/"+ownCustomer+"/weight",
		callOptions{token: operatorToken, id: "two", base: `"1"`, body: `{"weight":3}`})
	assert.Assert(t, merged.Merged)
	current, _ := b.control.Current()
	assert.Equal(t, current.Policy.Upstream("lesson-02").Labels["rental"], "night")
	assert.Equal(t, current.Policy.Customers[ownCustomer].Weight, 3.0)

	conflict := b.failed("PATCH", lessonLabels, label("three", "1", "week"), http.StatusConflict)
	assert.Equal(t, conflict.Code, administration.CodeConflict)
	assert.Equal(t, conflict.Head, domain.Revision(3))
	assert.Equal(t, conflict.Conflicts[0].Mine, `"week"`)
	assert.Equal(t, conflict.Conflicts[0].Theirs, `"night"`)

	reused := b.failed("PATCH", lessonLabels, label("one", "1", "day-2"), http.StatusUnprocessableEntity)
	assert.Equal(t, reused.Code, administration.CodeChangeIDReused)
	missing := b.failed("PATCH", lessonLabels, callOptions{token: operatorToken, id: "x", body: labelsBody}, http.StatusPreconditionRequired)
	assert.Equal(t, missing.Code, administration.CodePreconditionRequired)
	b.failed("PATCH", lessonLabels, label("four", "99", "week"), http.StatusPreconditionFailed)
	b.failed("PATCH", lessonLabels, label("", "3", "week"), http.StatusBadRequest)
}

// Guards against a definite answer about a change whose outcome is not known,
// and against a second revision when the call is repeated.
func TestOutcomeDuringOutage(t *testing.T) {
	t.Parallel()
	b := newBench(t, adminhttp.Options{ControlTimeout: time.Second})
	b.platform.SetFaults(platform.Faults{Down: []platform.Service{platform.ServiceTable}})
	down := b.failed("PATCH", lessonLabels, label("one", "1", "night"), http.StatusServiceUnavailable)
	assert.Equal(t, down.Code, administration.CodeUnavailable)
	b.platform.SetFaults(platform.Faults{})
	b.store.lose = true
	lost := b.failed("PATCH", lessonLabels, label("one", "1", "night"), http.StatusGatewayTimeout)
	assert.Equal(t, lost.Code, administration.CodeUnknownOutcome)
	b.store.lose, b.store.lost = false, false
	b.handler = adminhttp.NewServer(b.control, adminhttp.Options{}).Handler
	settled := b.accepted("PATCH", lessonLabels, label("one", "1", "night"))
	assert.Equal(t, settled.Revision, domain.Revision(2))
	assert.Assert(t, settled.Repeated)
}

// Guards against a dry run that changes something or hides an effect.
func TestDryRun(t *testing.T) {
	b := newBench(t, adminhttp.Options{})
	body := "[[rules]]\nid = \"coaching\"\nclasses = \"id=coaching-notes\"\nupstreams = \"workload=lesson\"\ntier = \"family\"\nservice_level = \"hours\"\nprecedence = 10\n"
	answer := b.accepted("PUT", "/admin/v1/items/rules/coaching?dry_run=true", callOptions{token: operatorToken, base: "1", body: body})
	assert.Equal(t, answer.Verdict, administration.VerdictDryRun)
	assert.Assert(t, answer.ImpactTotal > 0)
	assert.Equal(t, answer.Impact[0].NewTier, domain.TierID("family"))
	current, _ := b.control.Current()
	assert.Equal(t, current.Revision, firstRevision)
}

// Guards against findings without their place, and against reporting only the
// first of them.
func TestFindings(t *testing.T) {
	b := newBench(t, adminhttp.Options{})
	body := "[[customers]]\nid = \"x\"\nweight = 0\ndefault_class = \"absent\"\napi_key_sha256 = []\n"
	answer := b.failed("PATCH", "/admin/v1/config?file=new.toml", callOptions{token: operatorToken, id: "f", base: "1", body: body}, http.StatusUnprocessableEntity)
	var lines []string
	for _, f := range answer.Findings {
		lines = append(lines, f.String())
	}
	text := strings.Join(lines, "\n")
	assert.Assert(t, strings.Contains(text, "new.toml:3:"), text)
	assert.Assert(t, strings.Contains(text, "new.toml:4:"), text)
}

// Guards against draining the last upstream of a class by accident, and
// against a drain that cannot be forced or ended, also by a roll-forward.
func TestDrainLastUpstream(t *testing.T) {
	b := newBench(t, adminhttp.Options{})
	base := func() string { c, _ := b.control.Current(); return string(rune('0' + c.Revision)) }
	for _, id := range []string{"booking-1", "booking-2"} {
		b.accepted("POST", "/admin/v1/upstreams/"+id+"/drain", callOptions{token: operatorToken, id: id, base: base()})
	}
	path := "/admin/v1/upstreams/booking-3/drain"
	refused := b.failed("POST", path, callOptions{token: operatorToken, id: "last", base: base()}, http.StatusConflict)
	assert.Equal(t, refused.Code, administration.CodeForceRequired)
	assert.Equal(t, refused.Warnings[0].Code, administration.WarningClassWithoutUpstreams)
	assert.Equal(t, refused.Warnings[0].Service, "booking")
	forced := b.accepted("POST", path+"?force=true", callOptions{token: operatorToken, id: "last", base: base()})
	assert.Equal(t, forced.Drain.Phase, administration.PhaseReleasable)
	assert.Assert(t, strings.Contains(b.log.String(), `"AD5002"`), b.log.String())
	back := b.accepted("POST", "/admin/v1/upstreams/booking-3/undrain", callOptions{token: operatorToken, id: "back", base: base()})
	assert.Equal(t, back.Drain.Phase, administration.PhaseServing)
	drains := func() int { f, _ := b.control.Status(context.Background()); return len(f.Drains) }
	assert.Equal(t, drains(), 2)
	b.accepted("POST", "/admin/v1/config/rollforward", callOptions{token: operatorToken, id: "earlier", base: base(), body: `{"to":1}`})
	assert.Equal(t, drains(), 0, "a drain goes on although the configuration says that the upstream serves")
}

// Guards against a drain that waits for the platform.
func TestDrainDuringOutage(t *testing.T) {
	t.Parallel()
	b := newBench(t, adminhttp.Options{ControlTimeout: 200 * time.Millisecond})
	b.platform.SetFaults(platform.Faults{Down: []platform.Service{platform.ServiceTable}})
	answer := b.failed("POST", "/admin/v1/upstreams/lesson-02/drain", callOptions{token: operatorToken, id: "d", base: "1"}, http.StatusServiceUnavailable)
	assert.Equal(t, answer.Drain.Upstream, domain.UpstreamID("lesson-02"))
	assert.Assert(t, strings.Contains(answer.Message, "not recorded"), answer.Message)
}

// Guards against a drain that waits behind another change that the platform
// holds up.
func TestDrainBesideStuckChange(t *testing.T) {
	t.Parallel()
	b := newBench(t, adminhttp.Options{ControlTimeout: 2 * time.Second})
	b.platform.SetFaults(platform.Faults{Down: []platform.Service{platform.ServiceTable}})
	stuck := make(chan struct{})
	go func() {
		defer close(stuck)
		b.call("PATCH", lessonLabels, label("one", "1", "night"))
	}()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		b.call("POST", "/admin/v1/upstreams/lesson-03/drain", callOptions{token: operatorToken, id: "d", base: "1"})
	}()
	for {
		if fleet, _ := b.control.Status(context.Background()); len(fleet.Drains) == 1 {
			break
		}
		select {
		case <-stuck:
			t.Fatal("the drain started after the change had ended")
		case <-time.After(time.Millisecond):
		}
	}
	<-stuck
	<-drained
}

// Guards against locking every operator out.
func TestLastOperatorToken(t *testing.T) {
	b := newBench(t, adminhttp.Options{})
	answer := b.failed("DELETE", "/admin/v1/items/admin_tokens/on-call", callOptions{token: operatorToken, id: "d", base: "1"}, http.StatusConflict)
	assert.Equal(t, answer.Warnings[0].Code, administration.WarningNoOperator)
}
