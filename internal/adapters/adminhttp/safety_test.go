package adminhttp_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/adminhttp"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/standin/control"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
)

const secret = "planted-secret-c41d"

// Guards against secrets in the log, whichever part of a call they come in and
// however the call ends.
func TestNoSecretsInLog(t *testing.T) {
	b := newBench(t, adminhttp.Options{MaxBodyBytes: 4096, ControlTimeout: 30 * time.Millisecond})
	bodies := []string{
		`{"set":{"season":"` + secret + `"}}`,
		`{"set":{"season":"` + secret + ` "}}`,
		`{"` + secret + `":1}`,
		"[[customers]]\nid = \"x\"\napi_key_sha256 = [\"" + secret + "\"]\n",
		"[[models]]\nid = \"m\"\nadapters = [\"" + secret + "\"]\n",
		secret + strings.Repeat("x", 5000),
	}
	for _, faults := range []platform.Faults{{}, {Down: []platform.Service{platform.ServiceTable}}} {
		b.platform.SetFaults(faults)
		for _, c := range scopeCases {
			method, _, _ := strings.Cut(c.route, " ")
			for i, token := range []string{secret, operatorToken, schoolsToken, viewerToken} {
				body := bodies[(i+len(c.path))%len(bodies)]
				b.call(method, c.path+"?file="+secret, callOptions{token: token, base: "1", id: "id", body: body, header: map[string]string{
					"Cookie": secret, adminhttp.HeaderMessage: secret, "X-Api-Key": secret,
				}})
			}
		}
	}
	b.call("GET", "/admin/", callOptions{header: map[string]string{"Authorization": "Basic " + secret}})
	assert.Assert(t, strings.Contains(b.log.String(), `"AD7001"`), "nothing was logged")
	assert.Assert(t, strings.Contains(b.log.String(), `"AD7002"`), "no refusal was logged")
	assert.Assert(t, !strings.Contains(b.log.String(), "planted"), b.log.String())
}

// Guards against an audit trail that does not tell who changed what at which
// revision.
func TestAuditTrail(t *testing.T) {
	b := newBench(t, adminhttp.Options{})
	o := label("one", "1", "night")
	o.header = map[string]string{adminhttp.HeaderMessage: "rented for the night"}
	b.accepted("PATCH", lessonLabels, o)
	var line map[string]any
	assert.NilError(t, json.Unmarshal(b.log.Bytes(), &line))
	assert.Equal(t, line["event"], "AD7001")
	assert.Equal(t, line["principal"], "on-call")
	assert.Equal(t, line["revision"], 2.0)
	assert.DeepEqual(t, line["items"], []any{"changed upstreams/lesson-02"})
	h := decoded[administration.HistoryResponse](t, b.call("GET", "/admin/v1/config/history", callOptions{token: viewerToken}), http.StatusOK)
	assert.Equal(t, h.Entries[0].Author, "on-call")
	assert.Equal(t, h.Entries[0].Message, "rented for the night")
	b.log.Reset()
	b.call("POST", "/admin/v1/upstreams/lesson-02/drain", callOptions{token: schoolsToken, base: "2", id: "x"})
	assert.NilError(t, json.Unmarshal(b.log.Bytes(), &line))
	assert.Equal(t, line["event"], "AD7002")
	assert.Equal(t, line["principal"], "schools-desk")
}

// Guards against hashes shown to those who do not manage them.
func TestHashesAreForOperators(t *testing.T) {
	b := newBench(t, adminhttp.Options{})
	for _, path := range []string{"/admin/v1/config", "/admin/v1/config?revision=1", "/admin/v1/items/customers", "/admin/v1/items/customers/" + ownCustomer} {
		hash := "05f9bd2f4b6df6650499d398387ee7fb"
		assert.Assert(t, strings.Contains(b.call("GET", path, callOptions{token: operatorToken}).Body.String(), hash), path)
		for _, token := range []string{viewerToken, schoolsToken} {
			text := b.call("GET", path, callOptions{token: token}).Body.String()
			assert.Assert(t, strings.Contains(text, ownCustomer) && !strings.Contains(text, hash), path)
			assert.Assert(t, !strings.Contains(text, policy.HashKey(operatorToken).String()), path)
		}
	}
}

// Guards against bodies and guesses without a bound.
func TestLimits(t *testing.T) {
	b := newBench(t, adminhttp.Options{MaxBodyBytes: 100})
	big := callOptions{token: operatorToken, base: "1", id: "x", body: strings.Repeat("#", 101)}
	answer := b.failed("PATCH", "/admin/v1/config", big, http.StatusRequestEntityTooLarge)
	assert.Equal(t, answer.Code, administration.CodeTooLarge)
	server := adminhttp.NewServer(b.control, adminhttp.Options{})
	assert.Assert(t, server.ReadHeaderTimeout > 0 && server.ReadTimeout > 0 && server.WriteTimeout > 0 && server.IdleTimeout > 0 && server.MaxHeaderBytes > 0)
	status := 0
	for range 30 {
		status = b.call("GET", "/admin/v1/status", callOptions{token: "guess"}).Code
	}
	assert.Equal(t, status, http.StatusTooManyRequests)
	assert.Equal(t, b.call("GET", "/admin/v1/status", callOptions{token: viewerToken}).Code, http.StatusOK)
}

// Guards against a status page that is open, that runs text as HTML, or whose
// credentials work for changes from another site.
func TestStatusPage(t *testing.T) {
	b := newBench(t, adminhttp.Options{})
	b.control.SetFleet(administration.Fleet{Daemon: "entry-1", Daemons: []administration.DaemonStatus{
		{Daemon: "entry-1", Region: "north-coast", Revision: 9, Ready: true, Seen: time.Now(), Tiers: []administration.TierStatus{{Tier: "beach", Finished: 200, Met: 195, Sheds: 3}}},
		{Daemon: "entry-2", Region: "<script>", Revision: 8, Reason: "<b>late</b>", Seen: time.Now()},
		{Daemon: "entry-3"},
	}})
	basic := func(token string) *http.Request {
		r, _ := http.NewRequest("GET", "/", nil)
		r.SetBasicAuth("any", token)
		return r
	}
	assert.Equal(t, b.call("GET", "/admin/", callOptions{}).Code, http.StatusUnauthorized)
	header := map[string]string{"Authorization": basic(viewerToken).Header.Get("Authorization")}
	w := b.call("GET", "/admin/", callOptions{header: header})
	text := w.Body.String()
	assert.Equal(t, w.Code, http.StatusOK)
	for _, want := range []string{"97.5%", "1 of 3 daemons ready, 1 not reporting", "&lt;script&gt;", ">9<", ">8<"} {
		assert.Assert(t, strings.Contains(text, want), "%s missing in %s", want, text)
	}
	assert.Assert(t, !strings.Contains(text, "<script") && !strings.Contains(text, "http://") && !strings.Contains(text, "src="))
	header["Authorization"] = basic(operatorToken).Header.Get("Authorization")
	assert.Equal(t, b.call("GET", "/admin/v1/config", callOptions{header: header}).Code, http.StatusUnauthorized)
}

// Guards against health answers that need a token or lie about readiness, and
// against metrics that miss the administration calls.
func TestHealthAndMetrics(t *testing.T) {
	b := newBench(t, adminhttp.Options{})
	b.accepted("PATCH", lessonLabels, label("one", "1", "night"))
	b.call("GET", "/admin/v1/status", callOptions{})
	assert.Equal(t, b.call("GET", "/healthz", callOptions{}).Code, http.StatusOK)
	assert.Equal(t, b.call("GET", "/readyz", callOptions{}).Code, http.StatusOK)
	metrics := b.call("GET", "/metrics", callOptions{}).Body.String()
	for _, want := range []string{`auburndyke_admin_changes_total{verdict="accepted"} 1`, `auburndyke_admin_refused_total{reason="unauthenticated"} 1`} {
		assert.Assert(t, strings.Contains(metrics, want), metrics)
	}
	b.handler = adminhttp.NewServer(control.New(b.store), adminhttp.Options{}).Handler
	assert.Equal(t, b.call("GET", "/readyz", callOptions{}).Code, http.StatusServiceUnavailable)
}

// Guards against bootstrap tokens that stay valid next to configured ones.
func TestBootstrapToken(t *testing.T) {
	bootstrap := administration.BootstrapTokens(policy.HashKey("boot"))
	b := newBench(t, adminhttp.Options{Bootstrap: bootstrap})
	assert.Equal(t, b.call("GET", "/admin/v1/status", callOptions{token: "boot"}).Code, http.StatusUnauthorized)
	none := administration.Authenticator{Bootstrap: bootstrap}
	who, ok := none.Authenticate("boot")
	assert.Assert(t, ok && who.IsOperator())
	_, ok = none.Authenticate("")
	assert.Assert(t, !ok)
}
