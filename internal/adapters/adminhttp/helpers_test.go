package adminhttp_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/examples"
	"github.com/auburndyke/auburndyke/internal/adapters/adminhttp"
	"github.com/auburndyke/auburndyke/internal/administration"
	"github.com/auburndyke/auburndyke/internal/configlog"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/policy"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/control"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
	"github.com/auburndyke/auburndyke/internal/telemetry"
)

const (
	viewerToken   = "planted-viewer-token-5bd0"
	operatorToken = "planted-operator-token-91fe"
	schoolsToken  = "planted-schools-token-77a2"
)

// lossyStore loses the answer of each commit and fails the reads after it.
type lossyStore struct {
	configlog.Store
	lose bool
	lost bool
}

func (s *lossyStore) Commit(ctx context.Context, writes ...ports.Write) (ports.Version, error) {
	version, err := s.Store.Commit(ctx, writes...)
	if s.lose {
		s.lost = true
		return 0, ports.ErrUnknownOutcome
	}
	return version, err
}

func (s *lossyStore) Get(ctx context.Context, keys ...string) ([]ports.Row, error) {
	if s.lost {
		return nil, ports.ErrUnavailable
	}
	return s.Store.Get(ctx, keys...)
}

// bench is an administration server over a stand-in daemon.
type bench struct {
	t        *testing.T
	platform *platform.Platform
	store    *lossyStore
	control  *control.Control
	handler  http.Handler
	log      *bytes.Buffer
}

func newBench(t *testing.T, options adminhttp.Options) *bench {
	b := &bench{t: t, platform: platform.New(platform.Config{}), log: &bytes.Buffer{}}
	b.store = &lossyStore{Store: b.platform.Client("test")}
	b.control = control.New(b.store)
	options.Log = telemetry.NewLog(zerolog.SyncWriter(b.log), zerolog.DebugLevel, "d1")
	b.handler = adminhttp.NewServer(b.control, options).Handler
	result, err := b.control.Propose(context.Background(), configlog.Change{ID: "seed", Author: "test", Content: seed()})
	assert.NilError(t, err)
	assert.Equal(t, result.Document.Revision, firstRevision)
	return b
}

// seed returns the configuration that each test starts from.
var seed = sync.OnceValue(func() []byte {
	d, err := examples.Load("maraval-bay")
	if err != nil {
		panic(err)
	}
	d.AdminTokens = nil
	return d.PutAdminToken(policy.AdminToken{ID: "watcher", Hash: policy.HashKey(viewerToken), Role: policy.RoleViewer}).
		PutAdminToken(policy.AdminToken{ID: "on-call", Hash: policy.HashKey(operatorToken), Role: policy.RoleOperator}).
		PutAdminToken(policy.AdminToken{ID: "schools-desk", Hash: policy.HashKey(schoolsToken), Role: policy.RoleTeam, Team: "schools"}).
		Encode()
})

const firstRevision domain.Revision = 1

type callOptions struct {
	token, base, id string
	body            string
	header          map[string]string
}

func (b *bench) call(method, path string, o callOptions) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(o.body))
	if o.token != "" {
		r.Header.Set("Authorization", "Bearer "+o.token)
	}
	if o.base != "" {
		r.Header.Set(adminhttp.HeaderBase, o.base)
	}
	if o.id != "" {
		r.Header.Set(adminhttp.HeaderChangeID, o.id)
	}
	for name, value := range o.header {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, r)
	return w
}

// accepted makes a change that must succeed.
func (b *bench) accepted(method, path string, o callOptions) administration.ChangeResponse {
	b.t.Helper()
	return decoded[administration.ChangeResponse](b.t, b.call(method, path, o), http.StatusOK)
}

// failed makes a call that must fail.
func (b *bench) failed(method, path string, o callOptions, status int) administration.ErrorResponse {
	b.t.Helper()
	return decoded[administration.ErrorResponse](b.t, b.call(method, path, o), status)
}

func decoded[T any](t *testing.T, w *httptest.ResponseRecorder, status int) T {
	t.Helper()
	var answer T
	assert.Equal(t, w.Code, status, w.Body.String())
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &answer), w.Body.String())
	return answer
}
