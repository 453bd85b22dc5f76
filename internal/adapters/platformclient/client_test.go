package platformclient_test

import (
	"errors"
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
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// eachClient runs a test in virtual time through HTTP and in process, which
// must behave alike.
func eachClient(t *testing.T, cfg platform.Config, test func(t *testing.T, p *platform.Platform, c ports.Platform)) {
	t.Run("http", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
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
		synctest.Test(t, func(t *testing.T) {
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
