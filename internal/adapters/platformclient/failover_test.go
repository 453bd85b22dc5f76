package platformclient_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/adapters/platformclient"
	"github.com/auburndyke/auburndyke/internal/ports"
	"github.com/auburndyke/auburndyke/internal/standin/netfault"
	"github.com/auburndyke/auburndyke/internal/standin/platform"
	"github.com/auburndyke/auburndyke/internal/standin/virtualtime"
)

// twoPlatforms runs a test with a client that prefers the first platform.
// The platforms share no state, so that their counters show who was asked.
func twoPlatforms(t *testing.T, test func(t *testing.T, first, second *platform.Platform, refuse func(), c *platformclient.Client)) {
	virtualtime.Test(t, func(t *testing.T) {
		first, second := platform.New(platform.Config{}), platform.New(platform.Config{})
		pipes := map[string]*netfault.Pipe{"first:80": netfault.NewPipe(), "second:80": netfault.NewPipe()}
		first.Start(pipes["first:80"])
		second.Start(pipes["second:80"])
		refused := false
		c, err := platformclient.NewFailover([]string{"http://first", "http://second"}, platformclient.Options{
			Name: "d1",
			Transport: httpsend.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				if refused && address == "first:80" {
					return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
				}
				return pipes[address].Dial(ctx, network, address)
			}},
		})
		assert.NilError(t, err)
		test(t, first, second, func() { refused = true }, c)
		c.Close()
		assert.NilError(t, first.Close())
		assert.NilError(t, second.Close())
		synctest.Wait()
	})
}

var oneWrite = ports.Write{Key: "k", Value: []byte("v")}

// Guards against an outage of one access point that stops reads, and against
// a silent one that delays each of them.
func TestReadsMoveOn(t *testing.T) {
	twoPlatforms(t, func(t *testing.T, first, second *platform.Platform, _ func(), c *platformclient.Client) {
		_, err := c.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, first.Counters().Reads, 1)
		first.SetFaults(platform.Faults{Unreachable: []string{"d1"}})
		for range 3 {
			_, err = c.Get(t.Context(), "k")
			assert.NilError(t, err)
		}
		began := time.Now()
		_, err = c.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, second.Counters().Reads, 4)
		first.SetFaults(platform.Faults{})
		time.Sleep(10 * time.Second)
		_, err = c.Get(t.Context(), "k")
		assert.NilError(t, err)
		assert.Equal(t, first.Counters().Reads, 2, "the preferred access point is used again")
	})
}

// Guards against a write that two access points run.
func TestWritesAreSentOnce(t *testing.T) {
	twoPlatforms(t, func(t *testing.T, first, second *platform.Platform, refuse func(), c *platformclient.Client) {
		first.SetFaults(platform.Faults{LoseNext: 1})
		_, err := c.Commit(t.Context(), oneWrite)
		assert.ErrorIs(t, err, ports.ErrUnknownOutcome)
		assert.Equal(t, second.Counters().Writes, 0)
		time.Sleep(10 * time.Second)
		c.Close()
		refuse()
		_, err = c.Commit(t.Context(), oneWrite)
		assert.NilError(t, err)
		assert.Equal(t, first.Counters().Writes, 1)
		assert.Equal(t, second.Counters().Writes, 1, "a write that was not sent goes elsewhere")
	})
}
