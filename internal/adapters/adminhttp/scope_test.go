package adminhttp_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/adminhttp"
	"github.com/auburndyke/auburndyke/internal/policy"
)

const (
	ownCustomer   = "maraval-surf-school"
	otherCustomer = "toco-coaching"
	// wholeDocument stands for the configuration in force with one more model.
	wholeDocument = "whole document"
	labelsBody    = `{"set":{"season":"high"}}`
)

// scopeCase is one call and the status that each role gets.
type scopeCase struct {
	route, path, body       string
	viewer, operator, teams int
}

var scopeCases = []scopeCase{
	{"GET /admin/v1/openapi.yaml", "/admin/v1/openapi.yaml", "", 200, 200, 200},
	{"GET /admin/v1/config", "/admin/v1/config", "", 200, 200, 200},
	{"PUT /admin/v1/config", "/admin/v1/config", wholeDocument, 403, 200, 403},
	{"PATCH /admin/v1/config", "/admin/v1/config", "[routing]\nsecond_value = 2\n", 403, 200, 403},
	{"GET /admin/v1/config/history", "/admin/v1/config/history", "", 200, 200, 200},
	{"POST /admin/v1/config/rollforward", "/admin/v1/config/rollforward", `{"to":1}`, 403, 200, 403},
	{"GET /admin/v1/items/:kind", "/admin/v1/items/customers", "", 200, 200, 200},
	{"GET /admin/v1/items/:kind", "/admin/v1/items/admin_tokens", "", 403, 200, 403},
	{"GET /admin/v1/items/:kind/:id", "/admin/v1/items/rules/coaching", "", 200, 200, 200},
	{"GET /admin/v1/items/:kind/:id", "/admin/v1/items/admin_tokens/watcher", "", 403, 200, 403},
	{"PUT /admin/v1/items/:kind/:id", "/admin/v1/items/models/plan", "[[models]]\nid = \"plan\"\n", 403, 200, 403},
	{"PUT /admin/v1/items/:kind/:id", "/admin/v1/items/admin_tokens/x", "[[admin_tokens]]\nid = \"x\"\nrole = \"operator\"\nsha256 = \"" + strings.Repeat("ab", 32) + "\"\n", 403, 200, 403},
	{"DELETE /admin/v1/items/:kind/:id", "/admin/v1/items/customers/" + ownCustomer, "", 403, 200, 403},
	{"DELETE /admin/v1/items/:kind/:id", "/admin/v1/items/rules/season-summaries-overnight", "", 403, 200, 403},
	{"PATCH /admin/v1/items/:kind/:id/labels", "/admin/v1/items/customers/" + ownCustomer + "/labels", labelsBody, 403, 200, 200},
	{"PATCH /admin/v1/items/:kind/:id/labels", "/admin/v1/items/customers/" + otherCustomer + "/labels", labelsBody, 403, 200, 403},
	{"PATCH /admin/v1/items/:kind/:id/labels", "/admin/v1/items/classes/lesson-plan/labels", labelsBody, 403, 200, 403},
	{"PATCH /admin/v1/items/:kind/:id/labels", "/admin/v1/items/upstreams/lesson-01/labels", labelsBody, 403, 200, 403},
	{"PUT /admin/v1/items/customers/:id/weight", "/admin/v1/items/customers/" + ownCustomer + "/weight", `{"weight":2}`, 403, 200, 200},
	{"PUT /admin/v1/items/customers/:id/weight", "/admin/v1/items/customers/" + otherCustomer + "/weight", `{"weight":2}`, 403, 200, 403},
	{"POST /admin/v1/upstreams/:id/drain", "/admin/v1/upstreams/lesson-02/drain", "", 403, 200, 403},
	{"POST /admin/v1/upstreams/:id/undrain", "/admin/v1/upstreams/lesson-02/undrain", "", 403, 200, 403},
	{"GET /admin/v1/drains", "/admin/v1/drains", "", 200, 200, 200},
	{"GET /admin/v1/status", "/admin/v1/status", "", 200, 200, 200},
	{"GET /admin/v1/explain", "/admin/v1/explain?customer=" + ownCustomer + "&model=lesson", "", 200, 200, 200},
}

// Guards against a call that a role may make by mistake, and against a new
// call whose scope nobody decided.
func TestScopeMatrix(t *testing.T) {
	covered := map[string]bool{}
	for _, c := range scopeCases {
		covered[c.route] = true
		method, _, _ := strings.Cut(c.route, " ")
		b := newBench(t, adminhttp.Options{})
		body := c.body
		if body == wholeDocument {
			current, _ := b.control.Current()
			body = string(current.Document.PutModel(policy.Model{ID: "plan"}).Encode())
		}
		// Refused calls change nothing, and the same call of another role is
		// the same change, so all roles use one configuration.
		for _, role := range []struct {
			token string
			want  int
		}{{"", 401}, {"unknown", 401}, {viewerToken, c.viewer}, {schoolsToken, c.teams}, {operatorToken, c.operator}} {
			w := b.call(method, c.path, callOptions{token: role.token, base: "1", id: "one", body: body})
			assert.Equal(t, w.Code, role.want, "%s as %q: %s", c.route, role.token, w.Body.String())
		}
	}
	for _, name := range adminhttp.RouteNames() {
		assert.Assert(t, covered[name], "%s has no case", name)
	}
}

// Guards against a description that lacks calls or names calls that do not
// exist.
func TestDescriptionMatchesRoutes(t *testing.T) {
	text, err := os.ReadFile("openapi.yaml")
	assert.NilError(t, err)
	parameter := regexp.MustCompile(`\{(\w+)\}`)
	var described []string
	path := ""
	for _, line := range strings.Split(string(text), "\n") {
		if m := regexp.MustCompile(`^  (/\S+):$`).FindStringSubmatch(line); m != nil {
			path = parameter.ReplaceAllString(m[1], ":$1")
		}
		if m := regexp.MustCompile(`^    (get|put|post|patch|delete):$`).FindStringSubmatch(line); m != nil {
			described = append(described, strings.ToUpper(m[1])+" "+path)
		}
	}
	names := adminhttp.RouteNames()
	slices.Sort(names)
	slices.Sort(described)
	assert.DeepEqual(t, described, names)
}
