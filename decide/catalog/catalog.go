// Package catalog holds one version of a gateway's configuration: the routes of requests, the
// services, and the teams with their API keys. New builds a Catalog; its methods look up the
// route of a request.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/grademill/grademill/decide/apikey"
)

// Catalog is one version of the configuration. It is immutable and must not be changed after
// New. The zero Catalog has no routes.
type Catalog struct {
	// Version increases from one catalog to the next.
	Version uint64
	// Services maps names to services.
	Services map[string]*Service
	// Limits bound the requests of callers.
	Limits Limits
	// Keys holds the teams by API key, and whether callers need one.
	Keys apikey.Registry[*Team]
	// routes are by host in lower case, those with the longest prefix first.
	routes map[string][]*Route
	// objectives holds the shortest target latency of the routes of each service.
	objectives map[string]time.Duration
}

// New returns a catalog of the given parts.
func New(version uint64, routes []*Route, services []*Service, keys apikey.Registry[*Team], limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits, Keys: keys,
		Services:   make(map[string]*Service, len(services)),
		routes:     make(map[string][]*Route),
		objectives: make(map[string]time.Duration),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
		for _, s := range r.Shares {
			if known := c.objectives[s.Service]; r.TargetLatency > 0 && (known == 0 || r.TargetLatency < known) {
				c.objectives[s.Service] = r.TargetLatency
			}
		}
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Route returns the route for a host and path: the one of that host with the longest prefix of
// the path. It ignores the host's port and case.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range c.routes[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Objective returns the shortest target latency of the routes of a service, 0 if none has one.
func (c *Catalog) Objective(service string) time.Duration {
	return c.objectives[service]
}

// Team is a group of callers.
type Team struct {
	Name string
	// Priority overrides the priority of a route, 0 being the most urgent; nil keeps the
	// route's.
	Priority *int
}

// Limits bound the requests of callers. A zero field means no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long the headers of a request may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between requests.
	IdleTimeout time.Duration
}
