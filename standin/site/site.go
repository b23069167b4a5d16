package site

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Site is a store with endpoints. Make one with New.
type Site struct {
	// Store is the platform's store, at StoreAddress.
	Store        *Store
	StoreAddress string
	// Layers is the number of layers of the model.
	Layers int
	// Dark has endpoints fall silent under deadly requests, as a host does that loses its power.
	Dark bool
	// Ending is called before an endpoint ends under a deadly request, when it is set.
	Ending func(*Endpoint)

	mu sync.Mutex // guards what follows
	// endpoints are by address.
	endpoints map[string]*Endpoint
	servers   []*http.Server
	// byAddress are the servers by the address at which they listen.
	byAddress map[string]*http.Server
	// faults are the chains that did not run each layer once and in order.
	faults []string
	// modes are those of the next requests of a service.
	modes map[string][]Mode
	// deadly are the bodies of requests that end the endpoints that begin to run them, and
	// deadlyMoved of those that end the parts that they are moved to; ended are the endpoints
	// that have.
	deadly, deadlyMoved map[string]bool
	ended               []*Endpoint
}

// New starts a site with a store and no endpoints.
func New(layers int) (*Site, error) {
	s := &Site{Store: new(Store), Layers: layers, endpoints: make(map[string]*Endpoint)}
	address, err := s.serve(s.Store)
	s.StoreAddress = address
	return s, err
}

// serve serves a handler at an address of its own.
func (s *Site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener) //nolint:errcheck // ends with Close
	s.mu.Lock()
	s.servers = append(s.servers, server)
	if s.byAddress == nil {
		s.byAddress = make(map[string]*http.Server)
	}
	s.byAddress[listener.Addr().String()] = server
	s.mu.Unlock()
	return listener.Addr().String(), nil
}

// Start starts an endpoint and announces it.
func (s *Site) Start(e *Endpoint) error {
	if err := s.Open(e); err != nil {
		return err
	}
	s.Enter(e)
	return nil
}

// Open has an endpoint listen without anybody knowing of it, so that Public can
// be set to a link before it.
func (s *Site) Open(e *Endpoint) error {
	e.Site = s
	address, err := s.serve(e)
	e.address = address
	return err
}

// Stop ends the process of an endpoint: its host refuses connections from then on.
func (s *Site) Stop(e *Endpoint) {
	s.mu.Lock()
	server := s.byAddress[e.address]
	s.mu.Unlock()
	if server != nil {
		_ = server.Close() // a stand-in's connections
	}
}

// Doom has each endpoint end that begins to run a request with a body, as the first of a
// chain or alone. Its record stays.
func (s *Site) Doom(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadly == nil {
		s.deadly = make(map[string]bool)
	}
	s.deadly[body] = true
}

// DoomMoved has each endpoint end that a request with a body is moved to.
func (s *Site) DoomMoved(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlyMoved = map[string]bool{body: true}
}

// doomMoved ends the endpoints that a request with a body has been moved to, if that is deadly.
func (s *Site) doomMoved(body string, from, to []part) {
	kept := make(map[string]bool)
	for _, p := range from {
		kept[p.address] = true
	}
	for _, p := range to {
		e := s.at(p.address)
		s.mu.Lock()
		deadly := s.deadlyMoved[body] && e != nil && !kept[p.address]
		if deadly {
			s.ended = append(s.ended, e)
		}
		s.mu.Unlock()
		if deadly {
			e.Kill()
			s.Stop(e)
		}
	}
}

// Ended returns the endpoints that have ended under such requests.
func (s *Site) Ended() []*Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Endpoint(nil), s.ended...)
}

// doom ends an endpoint that begins to run a request with a body, if that is deadly.
func (s *Site) doom(e *Endpoint, body []byte) {
	s.mu.Lock()
	deadly := s.deadly[string(body)]
	if deadly {
		s.ended = append(s.ended, e)
	}
	s.mu.Unlock()
	if deadly {
		if s.Ending != nil {
			s.Ending(e)
		}
		e.Kill()
		if s.Dark {
			return // what runs there hangs
		}
		s.Stop(e)
		panic(http.ErrAbortHandler)
	}
}

// Enter announces an endpoint that is open.
func (s *Site) Enter(e *Endpoint) {
	s.mu.Lock()
	s.endpoints[e.Address()] = e
	s.mu.Unlock()
	s.Announce(e)
}

// Next sets the modes of the next requests that any endpoint of a service gets, in
// the order of their arrival.
func (s *Site) Next(service string, modes ...Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.modes == nil {
		s.modes = make(map[string][]Mode)
	}
	s.modes[service] = append(s.modes[service], modes...)
}

// nextMode takes the mode of the next request of a service, if one is set.
func (s *Site) nextMode(service string) (Mode, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	modes := s.modes[service]
	if len(modes) == 0 {
		return Serve, false
	}
	s.modes[service] = modes[1:]
	return modes[0], true
}

// Record is what an endpoint writes about itself.
type Record struct {
	Service string         `json:"service"`
	Addr    string         `json:"addr"`
	Zone    string         `json:"zone"`
	Slots   int            `json:"slots"`
	State   string         `json:"state"`
	Kind    string         `json:"kind,omitempty"`
	Layers  map[string]int `json:"layers,omitempty"`
	Born    int64          `json:"born,omitempty"`
	Version string         `json:"version"`
	Cold    int            `json:"cold_left_ms"`
	Seq     int            `json:"seq"`
}

// slots is the number of requests that an endpoint runs together when nothing else
// is said.
const slots = 64

// Announce writes the record of an endpoint.
func (s *Site) Announce(e *Endpoint) { s.announce(e, "ready") }

// Leave writes that an endpoint is about to end.
func (s *Site) Leave(e *Endpoint) { s.announce(e, "draining") }

// Overwrite writes a text of another writer in place of the record of an endpoint.
func (s *Site) Overwrite(e *Endpoint, text string) { s.Store.SetText("servers/"+e.ID, []byte(text)) }

// Withdraw removes the record of an endpoint, which goes on serving.
func (s *Site) Withdraw(e *Endpoint) { s.Store.Remove("servers/" + e.ID) }

func (s *Site) announce(e *Endpoint, state string) {
	r := Record{Service: e.Service, Addr: e.Address(), Zone: e.Hall, Slots: cmp.Or(e.Slots, slots), State: state, Kind: e.Card, Born: e.BornAt(), Version: "v1"}
	if e.Card != "" {
		from, to := e.Layers()
		r.Layers = map[string]int{"from": from, "to_version": to, "version": 1}
	}
	s.Store.Set("servers/"+e.ID, r)
}

// at returns the endpoint at an address, nil for none.
func (s *Site) at(address string) *Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[address]
}

// lacks returns the first part of a chain that cannot be run, with the status of
// the refusal; 0 when there is none. A dead part shows only as a standstill.
func (s *Site) lacks(chain []part) (string, int) {
	for _, p := range chain {
		e := s.at(p.address)
		if e == nil {
			return p.address, http.StatusServiceUnavailable
		}
		if from, to := e.Layers(); p.from < from || p.to > to {
			return p.address, http.StatusMisdirectedRequest
		}
	}
	return "", 0
}

// check notes a chain that does not run each layer once and in order.
func (s *Site) check(id string, chain []part) {
	next := 0
	seen := make(map[string]bool)
	for _, p := range chain {
		if p.from != next || p.to <= p.from || seen[p.address] {
			next = -1
			break
		}
		seen[p.address] = true
		next = p.to
	}
	if next != s.Layers {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = append(s.faults, fmt.Sprintf("request %s: chain %v", id, chain))
	}
}

// Faults returns the chains that did not run each layer once and in order.
func (s *Site) Faults() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.faults...)
}

// Close ends the servers.
func (s *Site) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close() // a stand-in's connections
	}
}
