package httproute

import (
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburndyke/auburndyke/internal/domain"
)

// Table is a compiled configuration. It is immutable.
type Table struct {
	Version domain.Revision
	Limits  Limits
	// hosts maps a host and then a path prefix to its route.
	hosts    map[string]map[string]*Route
	services map[string]*Service
	gaps     map[string]Gaps
	keys     map[string]*Customer
	ranks    ranks
	// authenticated reports whether the configuration has customers.
	authenticated bool
}

// Compile validates a configuration and indexes it.
func Compile(c *Config) (*Table, error) {
	t := &Table{
		Version:       c.Version,
		Limits:        c.Limits,
		hosts:         make(map[string]map[string]*Route),
		services:      make(map[string]*Service, len(c.Services)),
		gaps:          make(map[string]Gaps),
		keys:          make(map[string]*Customer),
		authenticated: len(c.Customers) > 0,
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := t.addRoute(c.Routes[i]); err != nil {
			return nil, err
		}
	}
	t.ranks = newRanks(c)
	for i := range c.Customers {
		customer := &c.Customers[i]
		for _, key := range customer.Keys {
			t.keys[key] = customer
		}
	}
	return t, nil
}

func (t *Table) addRoute(r Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return eris.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	weight := 0
	for _, target := range r.Targets {
		if target.Weight < 0 {
			return eris.Errorf("route %q: service %q has negative weight %d", r.Name, target.Service, target.Weight)
		}
		weight += target.Weight
	}
	if weight == 0 {
		return eris.Errorf("route %q has no service with a positive weight", r.Name)
	}
	r.Host = CanonicalHost(r.Host)
	r.MaxAttempts = max(r.MaxAttempts, 1)
	prefixes := t.hosts[r.Host]
	if prefixes == nil {
		prefixes = make(map[string]*Route)
		t.hosts[r.Host] = prefixes
	}
	prefixes[r.Prefix] = &r
	for _, target := range r.Targets {
		t.gaps[target.Service] = t.gaps[target.Service].include(r.MaxGap)
	}
	return nil
}

// Gaps holds the smallest and the largest MaxGap of a service's routes. Zero means that
// no route states one.
type Gaps struct{ Shortest, Longest time.Duration }

func (g Gaps) include(gap time.Duration) Gaps {
	if gap <= 0 {
		return g
	}
	if g.Shortest == 0 || gap < g.Shortest {
		g.Shortest = gap
	}
	g.Longest = max(g.Longest, gap)
	return g
}

// Gaps returns the range of MaxGap of the routes to a service.
func (t *Table) Gaps(service string) Gaps { return t.gaps[service] }

// CanonicalHost returns a host in lower case and without its port.
func CanonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Lookup returns the route of a host with the longest prefix that matches path, or nil.
func (t *Table) Lookup(host, path string) *Route {
	prefixes := t.hosts[CanonicalHost(host)]
	for end := len(path); end > 0; {
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil
		}
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Authenticated reports whether requests on routes that are not public need an API
// key.
func (t *Table) Authenticated() bool { return t.authenticated }

// Customer returns the owner of an API key, or nil.
func (t *Table) Customer(key string) *Customer { return t.keys[key] }

// Pick returns the service for a request on the route, chosen by weight. draw is a
// random number that is uniform in [0, 1).
func (r *Route) Pick(draw float64) string {
	sum := 0
	for _, target := range r.Targets {
		sum += target.Weight
	}
	point := draw * float64(sum)
	for _, target := range r.Targets {
		point -= float64(target.Weight)
		if point < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
