package faultmatrix

import (
	"net"
	"sync"
	"time"

	"github.com/auburndyke/auburndyke/internal/adapters/httpsend"
	"github.com/auburndyke/auburndyke/internal/domain"
	"github.com/auburndyke/auburndyke/internal/standin/netfault"
)

// regionDelay is the travel time between hosts of different regions.
const regionDelay = 3 * time.Millisecond

// rule changes the path between two places.
type rule func(from, to place, path *netfault.Path)

type place struct {
	host   string
	region domain.Region
}

// network places hosts in regions and applies rules. It implements
// dev.Network.
type network struct {
	*netfault.Network
	mu     sync.Mutex
	places map[string]domain.Region
	rules  map[int]rule
	next   int
}

func newNetwork() *network {
	n := &network{Network: netfault.NewNetwork(), places: make(map[string]domain.Region), rules: make(map[int]rule)}
	n.SetPath(n.path)
	return n
}

// Listen implements dev.Network.
func (n *network) Listen(host string, region domain.Region, _ string) (net.Listener, error) {
	n.mu.Lock()
	n.places[host] = region
	n.mu.Unlock()
	return n.Network.Listen(host)
}

// Dial implements dev.Network.
func (n *network) Dial(host string) httpsend.DialFunc { return n.Network.Dial(host) }

func (n *network) path(from, to string) netfault.Path {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, b := place{from, n.places[from]}, place{to, n.places[to]}
	var path netfault.Path
	if a.region != b.region && a.region != "" && b.region != "" {
		path.Delay = regionDelay
	}
	for _, r := range n.rules {
		r(a, b, &path)
	}
	return path
}

// add puts a rule in force and returns the function that removes it.
func (n *network) add(r rule) (remove func()) {
	n.mu.Lock()
	id := n.next
	n.next++
	n.rules[id] = r
	n.mu.Unlock()
	n.SetPath(n.path)
	return func() {
		n.mu.Lock()
		delete(n.rules, id)
		n.mu.Unlock()
		n.SetPath(n.path)
	}
}

// isolated cuts a host off in both directions.
func isolated(host string) rule {
	return func(from, to place, path *netfault.Path) {
		if from.host == host || to.host == host {
			path.Cut = true
		}
	}
}

// late adds travel time to and from a host.
func late(host string, delay time.Duration) rule {
	return func(from, to place, path *netfault.Path) {
		if from.host == host || to.host == host {
			path.Delay += delay
		}
	}
}

// unreachable cuts a host off from another one in both directions.
func unreachable(host, other string) rule {
	return func(from, to place, path *netfault.Path) {
		if from.host == host && to.host == other || from.host == other && to.host == host {
			path.Cut = true
		}
	}
}

// partitioned cuts a region off from all hosts outside it but callers and the
// operator, who reach every region by other ways. One-way means that only what
// leaves the region is lost.
func partitioned(region domain.Region, oneWay bool) rule {
	return func(from, to place, path *netfault.Path) {
		if outside(from.host) || outside(to.host) {
			return
		}
		out := from.region == region && to.region != region
		in := to.region == region && from.region != region
		if out || in && !oneWay {
			path.Cut = true
		}
	}
}

func outside(host string) bool { return host == callerHost || host == operatorHost }
