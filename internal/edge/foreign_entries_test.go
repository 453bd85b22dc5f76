package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/auburndyke/auburndyke/platform/standin"
)

// foreignEntry returns an entry of another writer: that of a replica, but with a later
// start, and with fields changed.
func foreignEntry(t *testing.T, r *standin.Replica, service string, changes map[string]any) []byte {
	t.Helper()
	var entry map[string]any
	assert.NilError(t, json.Unmarshal(r.Registration(service, "a", "ready"), &entry))
	entry["born"] = time.Now().UnixMilli()
	for name, value := range changes {
		if value == nil {
			delete(entry, name)
		} else {
			entry[name] = value
		}
	}
	data, err := json.Marshal(entry)
	assert.NilError(t, err)
	return data
}

// configureServices puts a configuration in force that names the model service and others.
func (f *versionFleet) configureServices(version int, others ...string) {
	services := []map[string]string{{"name": "model"}}
	for _, name := range others {
		services = append(services, map[string]string{"name": name})
	}
	named, err := json.Marshal(services)
	assert.NilError(f.t, err)
	f.store.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"limits":{},"services":%s,"routes":[
		{"name":"s","host":"h.example","prefix":"/s/","type":"stream","resumable":true,"service":"model","attempts":1,"timeout_ms":12000,"goal_ms":1000,"gap_aim_ms":400}]}`, version, named))
}

// Guards against streams that can't be taken up, and against requests that are refused,
// because another writer has written entries with the addresses or the IDs of replicas. The
// share is that of the users' rule.
func TestForeignEntriesEndNoStreams(t *testing.T) {
	const (
		streams = 24
		// settled is longer than changes of the list are collected and than a removed
		// upstream is kept.
		settled = 2500 * time.Millisecond
	)
	for name, write := range map[string]func(*testing.T, *versionFleet, []*standin.Replica){
		"address": func(t *testing.T, f *versionFleet, replicas []*standin.Replica) {
			for _, r := range replicas {
				f.store.Put("servers", "pool-member-"+r.ID, foreignEntry(t, r, "old-pool", nil))
			}
		},
		"id for a moment": func(t *testing.T, f *versionFleet, replicas []*standin.Replica) {
			for _, r := range replicas {
				f.store.Put("servers", r.ID, foreignEntry(t, r, "old-pool", nil))
				time.Sleep(50 * time.Millisecond)
				f.store.Put("servers", r.ID, r.Registration("model", "a", "ready"))
			}
		},
		"id for a moment, without a software version": func(t *testing.T, f *versionFleet, replicas []*standin.Replica) {
			for _, r := range replicas {
				f.store.Put("servers", r.ID, foreignEntry(t, r, "model", map[string]any{"version": nil}))
				time.Sleep(50 * time.Millisecond)
				f.store.Put("servers", r.ID, r.Registration("model", "a", "ready"))
			}
		},
		"address, without a sequence number": func(t *testing.T, f *versionFleet, replicas []*standin.Replica) {
			for _, r := range replicas {
				f.store.Put("servers", "pool-member-"+r.ID, foreignEntry(t, r, "model", map[string]any{"seq": nil}))
			}
		},
		"address, of a configured service": func(t *testing.T, f *versionFleet, replicas []*standin.Replica) {
			f.configureServices(2, "other")
			for _, r := range replicas {
				f.store.Put("servers", "other-"+r.ID, foreignEntry(t, r, "other", nil))
			}
		},
		"address, service no longer configured": func(t *testing.T, f *versionFleet, replicas []*standin.Replica) {
			f.configureServices(2, "old-pool")
			for _, r := range replicas {
				f.store.Put("servers", "pool-member-"+r.ID, foreignEntry(t, r, "old-pool", nil))
			}
			time.Sleep(time.Second)
			f.configureServices(3)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startVersionFleet(t, 2)
			begun := make([]received, streams)
			var wait sync.WaitGroup
			for i := range streams {
				wait.Go(func() {
					ctx, leave := context.WithTimeout(t.Context(), time.Second)
					defer leave()
					begun[i] = f.read(ctx, f.daemons[i%2], fmt.Sprint("first-", i), "", 0)
				})
			}
			wait.Wait()
			write(t, f, slices.DeleteFunc(slices.Clone(f.replicas), func(r *standin.Replica) bool { return f.versions[r.ID] != "old" }))
			time.Sleep(settled)

			var mu sync.Mutex
			taken, goesOn := 0, 0
			for i, b := range begun {
				assert.Assert(t, b.status == http.StatusOK && b.events > 0 && !b.whole, "stream %d: %+v", i, b)
				if !b.softwares["old"] {
					continue
				}
				taken++
				wait.Go(func() {
					got := f.read(t.Context(), f.daemons[(i+1)%2], fmt.Sprint("again-", i), fmt.Sprint("first-", i), b.events)
					mu.Lock()
					defer mu.Unlock()
					if got.status == http.StatusOK && got.whole {
						goesOn++
					}
					assert.Check(t, !got.softwares["new"], "stream %d goes on at another version", i)
				})
			}
			wait.Wait()
			assert.Assert(t, taken > 0 && 2*goesOn >= taken, "%d of %d streams go on", goesOn, taken)
			t.Logf("%d of %d streams go on", goesOn, taken)
		})
	}
}
