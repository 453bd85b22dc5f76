package soak

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// Guards against a daemon that stood still while upstreams of another software version
// joined, and that joins streams of both when it goes on. Its callers have sent their
// requests while it stood still.
func TestDaemonThatStoodStillKeepsVersionsApart(t *testing.T) {
	binary := build(t)
	for _, c := range []struct {
		name string
		mode proxyMode
	}{{"platform in reach", passing}, {"platform out of reach", silent}} {
		t.Run(c.name, func(t *testing.T) {
			const streams = 24
			f := startFleet(t, binary, 3)
			slow := standin.Behaviour{Events: streamEvents, Work: 200 * time.Millisecond, NameVersion: true}
			for _, u := range f.upstreams {
				if u.service == "model" {
					u.replica().Set(slow)
				}
			}
			time.Sleep(5 * time.Second) // until the daemons know the rows and the size of the fleet
			still := f.daemons[2]
			still.signal(syscall.SIGSTOP)
			still.store.set(c.mode)
			for _, id := range []string{"next-0", "next-1", "next-2"} {
				r, err := standin.StartReplica(id)
				assert.NilError(t, err)
				r.SoftwareVersion = "next"
				r.Set(slow)
				u := &upstream{replicas: []*standin.Replica{r}, proxy: startProxy(t, r.Address()), service: "model"}
				t.Cleanup(u.replica().Close)
				f.upstreams = append(f.upstreams, u)
				f.register(u, "ready")
			}
			time.Sleep(time.Second)

			l := &load{fleet: f, prefix: "s", patient: true}
			begun, again := make([]*exchange, streams), make([]*exchange, streams)
			var wait sync.WaitGroup
			for i := range streams {
				wait.Go(func() {
					client := &http.Client{Transport: &http.Transport{}}
					defer client.CloseIdleConnections()
					begun[i] = l.send(client, f.daemons[0], "/resume/")
					if begun[i].err != nil && begun[i].lastEvent() > 0 {
						again[i] = l.sendFor(routeTimeout, client, still, "/resume/", begun[i])
					}
				})
			}
			time.Sleep(time.Second)
			f.daemons[0].kill()
			time.Sleep(200 * time.Millisecond)
			still.signal(syscall.SIGCONT)
			wait.Wait()
			taken, next := 0, 0
			for i, e := range again {
				if e == nil {
					continue
				}
				taken++
				if begun[i].firstVersion() == "next" {
					next++
				}
				if e.status != http.StatusOK {
					assert.Check(t, e.refused || e.status == 0, "status %d", e.status)
					continue
				}
				for _, p := range e.checkAnswer() {
					t.Error(p)
				}
			}
			assert.Assert(t, taken >= streams/2 && next > 2, "%d streams were taken up, %d of the next version", taken, next)
		})
	}
}
