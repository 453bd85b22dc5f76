package platformclient_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/adapters/platformclient"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/netfault"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// eachClient runs a test in virtual time through HTTP and in process, which
// must behave alike.
func eachClient(t *testing.T, cfg platform.Config, test func(t *testing.T, p *platform.Platform, c ports.Platform)) {
	t.Run("http", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			pipe := netfault.NewPipe()
			p := platform.New(cfg)
			p.Start(pipe)
			c, err := platformclient.New("http://platform", platformclient.Options{
				Name: "d1", Transport: httpsend.Options{Dial: pipe.Dial},
			})
			assert.NilError(t, err)
			test(t, p, c)
			c.Close()
			assert.NilError(t, p.Close())
			synctest.Wait()
		})
	})
	t.Run("in process", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			p := platform.New(cfg)
			test(t, p, p.Client("d1"))
		})
	})
}

// Guards against lost updates, torn transactions and deletions that a follower
// does not learn of.
func TestTable(t *testing.T) {
	eachClient(t, platform.Config{}, func(t *testing.T, _ *platform.Platform, c ports.Platform) {
		ctx := t.Context()
		v1, err := c.Commit(ctx, ports.Write{Key: "a/1", Value: []byte("x")}, ports.Write{Key: "a/2", Value: []byte("y")})
		assert.NilError(t, err)
		_, err = c.Commit(ctx, ports.Write{Key: "a/1", Expect: v1, Value: []byte("z")}, ports.Write{Key: "a/2"})
		var conflict *ports.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.DeepEqual(t, conflict.Keys, []string{"a/2"})
		v2, err := c.Commit(ctx, ports.Write{Key: "a/1", Expect: v1, Delete: true})
		assert.NilError(t, err)

		rows, err := c.Get(ctx, "a/1", "a/2")
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 1)
		assert.Equal(t, string(rows[0].Value), "y")
		rows, err = c.Scan(ctx, "a/", "", 10, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 1)
		rows, err = c.Scan(ctx, "a/", "", 10, v1)
		assert.NilError(t, err)
		assert.DeepEqual(t, rows, []ports.Row{{Key: "a/1", Version: v2, Deleted: true}})
		_, err = c.Commit(ctx, ports.Write{Key: "a/1", Value: []byte("new")})
		assert.NilError(t, err)
	})
}

// Guards against a wrong statement about the effect of a write, and checks
// each fault switch.
func TestFaults(t *testing.T) {
	eachClient(t, platform.Config{}, func(t *testing.T, p *platform.Platform, c ports.Platform) {
		ctx := t.Context()
		write := func(key string) error {
			_, err := c.Commit(ctx, ports.Write{Key: key, Unconditional: true})
			return err
		}
		p.SetFaults(platform.Faults{Down: []platform.Service{platform.ServiceTable}})
		assert.Assert(t, errors.Is(write("down"), ports.ErrUnavailable))
		_, err := c.VMs(ctx)
		assert.NilError(t, err)
		p.SetFaults(platform.Faults{ThrottleAll: true})
		assert.Assert(t, errors.Is(write("throttled"), ports.ErrThrottled))
		p.SetFaults(platform.Faults{Unreachable: []string{"d1"}})
		assert.Assert(t, errors.Is(write("unreachable"), ports.ErrUnknownOutcome))
		_, err = c.Get(ctx, "x")
		assert.Assert(t, errors.Is(err, ports.ErrUnavailable), "%v", err)
		p.SetFaults(platform.Faults{LoseNext: 1})
		assert.Assert(t, errors.Is(write("lost"), ports.ErrUnknownOutcome))
		assert.NilError(t, write("fine"))
		p.SetFaults(platform.Faults{Slow: 500 * time.Millisecond})
		start := time.Now()
		assert.NilError(t, write("slow"))
		assert.Equal(t, time.Since(start), 500*time.Millisecond)
		p.SetFaults(platform.Faults{})
		rows, err := c.Get(ctx, "down", "throttled", "unreachable", "lost", "fine", "slow")
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 3)
	})
}

// Guards against tests that never meet a write that takes effect after its
// caller gave up.
func TestWriteTakesEffectLate(t *testing.T) {
	eachClient(t, platform.Config{}, func(t *testing.T, p *platform.Platform, c ports.Platform) {
		p.SetFaults(platform.Faults{Slow: 20 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		value := []byte("late")
		_, err := c.Commit(ctx, ports.Write{Key: "a", Value: value})
		assert.ErrorIs(t, err, ports.ErrUnknownOutcome)
		copy(value, "used")
		p.SetFaults(platform.Faults{})
		rows, err := c.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 0)
		time.Sleep(20 * time.Second)
		rows, err = c.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, string(rows[0].Value), "late")
	})
}

// Guards against objects whose content changes under their name, and against
// a VM list without lag.
func TestObjectsVMsWeights(t *testing.T) {
	eachClient(t, platform.Config{VMLag: time.Minute}, func(t *testing.T, p *platform.Platform, c ports.Platform) {
		ctx := t.Context()
		assert.NilError(t, c.Put(ctx, "rev/1 a", []byte("one")))
		assert.NilError(t, c.Put(ctx, "rev/1 a", []byte("one")))
		var conflict *ports.ConflictError
		assert.Assert(t, errors.As(c.Put(ctx, "rev/1 a", []byte("two")), &conflict))
		data, err := c.Read(ctx, "rev/1 a")
		assert.NilError(t, err)
		assert.Equal(t, string(data), "one")
		_, err = c.Read(ctx, "rev/2")
		assert.Assert(t, errors.Is(err, ports.ErrNotFound), "%v", err)
		p.SetWeights("m/7b", 123)
		size, err := c.Size(ctx, "m/7b")
		assert.NilError(t, err)
		assert.Equal(t, size, int64(123))
		p.SetVMs(domain.VM{Name: "vm1"})
		vms, err := c.VMs(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(vms), 0)
		time.Sleep(time.Minute)
		vms, err = c.VMs(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, []domain.VM{{Name: "vm1"}})
	})
}

// Guards against a client that stays locked out after its credential was
// replaced, and against one that takes a rejected write for an unknown one.
func TestCredentialReload(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		pipe := netfault.NewPipe()
		p := platform.New(platform.Config{Credentials: []string{"one"}})
		p.Start(pipe)
		path := filepath.Join(t.TempDir(), "token")
		assert.NilError(t, os.WriteFile(path, []byte("one\n"), 0o600))
		read := platformclient.FileToken(path)
		replace := ""
		c, err := platformclient.New("http://platform", platformclient.Options{
			Transport: httpsend.Options{Dial: pipe.Dial},
			Token: func() (string, error) {
				token, err := read()
				// The file changes between the reading and the request.
				if replace != "" {
					assert.NilError(t, os.WriteFile(path, []byte(replace), 0o600))
				}
				return token, err
			},
		})
		assert.NilError(t, err)
		t.Cleanup(func() {
			c.Close()
			assert.NilError(t, p.Close())
		})
		commit := func(key string) error {
			_, err := c.Commit(t.Context(), ports.Write{Key: key})
			return err
		}
		assert.NilError(t, commit("a"))
		p.SetCredentials("two")
		assert.ErrorIs(t, commit("b"), ports.ErrUnavailable)
		replace = "two"
		assert.NilError(t, commit("b"))
		assert.NilError(t, os.Remove(path))
		replace = ""
		assert.ErrorIs(t, commit("c"), ports.ErrUnavailable)
		assert.Equal(t, p.Counters().Writes, 2)
	})
}

// Guards against reads that are not repeated, writes that are, and calls that
// stay on silent connections.
func TestSilentConnections(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		pipe := netfault.NewPipe()
		p := platform.New(platform.Config{})
		p.Start(pipe)
		c, err := platformclient.New("http://platform", platformclient.Options{Transport: httpsend.Options{Dial: pipe.Dial}})
		assert.NilError(t, err)
		t.Cleanup(func() {
			c.Close()
			assert.NilError(t, p.Close())
		})
		_, err = c.Commit(t.Context(), ports.Write{Key: "a"})
		assert.NilError(t, err)
		req := httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(`{"lose_next":3,"silence":true}`))
		p.ServeHTTP(httptest.NewRecorder(), req)
		assert.Equal(t, p.Faults().LoseNext, 3)
		rows, err := c.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 1)
		assert.Equal(t, p.Silence(), 1)
		_, err = c.Commit(t.Context(), ports.Write{Key: "b"})
		assert.ErrorIs(t, err, ports.ErrUnknownOutcome)
		assert.Equal(t, p.Counters().Writes, 1)
	})
}

// Guards against a status or body that is taken for more than it states.
func TestErrorMapping(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header string
		body   string
		write  error
		read   error
	}{
		{"refused", 503, "true", "", ports.ErrUnavailable, ports.ErrUnavailable},
		{"gateway", 503, "", "", ports.ErrUnknownOutcome, ports.ErrUnavailable},
		{"server error", 500, "true", "", ports.ErrUnknownOutcome, ports.ErrUnavailable},
		{"redirect", 307, "", "", ports.ErrUnknownOutcome, ports.ErrUnavailable},
		{"throttled", 429, "", "", ports.ErrThrottled, ports.ErrThrottled},
		{"forbidden", 403, "", "", ports.ErrUnavailable, ports.ErrUnavailable},
		{"foreign 404", 404, "", "<html>", ports.ErrUnknownOutcome, ports.ErrUnavailable},
		{"foreign 409", 409, "", "<html>", ports.ErrUnknownOutcome, ports.ErrUnavailable},
		{"not found", 404, "", `{"error":{"code":"not_found"}}`, ports.ErrNotFound, ports.ErrNotFound},
		{"empty answer", 200, "", "", ports.ErrUnknownOutcome, ports.ErrUnavailable},
		{"cut answer", 200, "", `{"version":`, ports.ErrUnknownOutcome, ports.ErrUnavailable},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Not-Run", k.header)
				w.WriteHeader(k.status)
				_, _ = io.WriteString(w, k.body)
			}))
			defer server.Close()
			c, err := platformclient.New(server.URL, platformclient.Options{Backoff: time.Microsecond})
			assert.NilError(t, err)
			defer c.Close()
			_, err = c.Commit(t.Context(), ports.Write{Key: "a"})
			assert.ErrorIs(t, err, k.write)
			_, err = c.Get(t.Context(), "a")
			assert.ErrorIs(t, err, k.read)
		})
	}
	c, err := platformclient.New("http://127.0.0.1:1", platformclient.Options{})
	assert.NilError(t, err)
	_, err = c.Commit(t.Context(), ports.Write{Key: "a"})
	assert.ErrorIs(t, err, ports.ErrUnavailable)
}
