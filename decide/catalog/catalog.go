// Package catalog holds the configuration of a gateway: which route a request
// takes, which services there are, and which team holds a key.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Catalog is one version of the configuration. It is immutable: make it with
// New. The zero Catalog has no route.
type Catalog struct {
	// Version only rises from one catalog to the next.
	Version uint64
	// Services are by name.
	Services map[string]*Service
	// Limits bound what callers may send.
	Limits Limits
	// routes are by host, the longest prefix first.
	routes map[string][]*Route
	// teams are by API key.
	teams map[string]*Team
}

// New returns a catalog of the given parts.
func New(version uint64, routes []*Route, services []*Service, teams []Team, limits Limits) *Catalog {
	c := &Catalog{
		Version: version, Limits: limits,
		Services: make(map[string]*Service, len(services)),
		routes:   make(map[string][]*Route),
		teams:    make(map[string]*Team),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range teams {
		for _, key := range teams[i].Keys {
			c.teams[key] = &teams[i]
		}
	}
	return c
}

// Route returns the route of a host and path: of the routes of that host, the
// one with the longest prefix of the path. The port of the host is ignored.
func (c *Catalog) Route(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(host, ":")
	for _, r := range c.routes[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Team returns the team that holds a key.
func (c *Catalog) Team(key string) (*Team, bool) {
	t, ok := c.teams[key]
	return t, ok
}

// HasTeams reports whether callers must show a key.
func (c *Catalog) HasTeams() bool {
	return len(c.teams) > 0
}

// Team is a group of callers.
type Team struct {
	Name string
	// Keys are its API keys.
	Keys []string
	// Priority goes before that of a route; nil leaves it to the route. 0 is
	// the most urgent.
	Priority *int
}

// Limits bound what callers may send. A zero field is no bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long the head of a request may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may rest between requests.
	IdleTimeout time.Duration
}
