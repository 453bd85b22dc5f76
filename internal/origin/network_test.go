package origin

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

const peerLatency = 2 * time.Millisecond

var addresses atomic.Int64

// nextAddress returns an address that no other process has.
func nextAddress() string {
	n := addresses.Add(1)
	return fmt.Sprintf("10.%d.%d.%d:7000", n>>16, n>>8&255, n&255)
}

// connect lets processes exchange datagrams until they end. They know each other as the
// whole fleet.
func connect(t *testing.T, fleet ...*process) {
	t.Helper()
	byAddress := make(map[string]*process)
	for _, p := range fleet {
		byAddress[p.o.Address] = p
	}
	for _, p := range fleet {
		var others []string
		for address := range byAddress {
			if address != p.o.Address {
				others = append(others, address)
			}
		}
		p.SetPeers(others, others, len(fleet))
		go func() {
			for {
				select {
				case <-p.ctx.Done():
					return
				case <-p.Updated():
				}
				for _, d := range p.Outgoing() {
					to := byAddress[d.To]
					if to == nil || p.cut.Load() {
						continue
					}
					time.AfterFunc(peerLatency, func() {
						if !to.cut.Load() && to.ctx.Err() == nil {
							to.Receive(d.Message)
						}
					})
				}
			}
		}()
	}
}

// startFleet starts processes that know each other.
func startFleet(t *testing.T, table Table, size int, versions map[string][]string) []*process {
	t.Helper()
	fleet := make([]*process, size)
	for i := range fleet {
		fleet[i] = startProcess(t, table, fmt.Sprint(i), versions)
		t.Cleanup(fleet[i].kill)
	}
	connect(t, fleet...)
	return fleet
}
