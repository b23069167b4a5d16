package site

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/grademill/grademill/standin/broken"
)

// Site is a store and a set of endpoints, each served at a loopback address. Make
// one with New.
type Site struct {
	// Store is the platform's store, at StoreAddress.
	Store        *Store
	StoreAddress string
	// Layers is the number of layers of the model.
	Layers int
	// CrashSilently makes an endpoint that runs a request marked by CrashOn or CrashOnPart stop answering, like a host
	// that loses power. Otherwise it refuses connections, like a host whose process has ended.
	CrashSilently bool
	// BeforeCrash, if set, is called before an endpoint ends because it runs a request marked by
	// CrashOn or CrashOnPart.
	BeforeCrash func(*Endpoint)

	mu sync.Mutex // guards what follows
	// endpoints holds the announced endpoints by address.
	endpoints map[string]*Endpoint
	servers   []*http.Server
	// byAddress holds the servers by the address at which they listen.
	byAddress map[string]*http.Server
	// faults describes the chains that did not run each layer once and in order.
	faults []string
	// modes holds the modes of the next requests, by service.
	modes queues[Mode]
	// raw and early hold the answers of NextRaw and NextEarly, by service.
	raw   queues[broken.Answer]
	early queues[Early]
	// crashes holds the bodies marked by CrashOn: an endpoint that begins to run such a request ends.
	// crashesMoved holds those marked by CrashOnMove: an endpoint to which such a request is moved ends.
	// crashingParts holds the parts of prompts marked by CrashOnPart. crashed lists the endpoints that have
	// ended in any of these ways.
	crashes, crashesMoved, crashingParts map[string]bool
	crashed                              []*Endpoint
}

// New starts a site with a store and no endpoints.
func New(layers int) (*Site, error) {
	s := &Site{Store: new(Store), Layers: layers, endpoints: make(map[string]*Endpoint)}
	address, err := s.serve(s.Store)
	s.StoreAddress = address
	return s, err
}

// serve serves a handler on a loopback port and returns the address.
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

// Start makes an endpoint listen and writes its record to the store.
func (s *Site) Start(e *Endpoint) error {
	if err := s.Open(e); err != nil {
		return err
	}
	s.Register(e)
	return nil
}

// Open makes an endpoint listen without writing its record, so that Public can be
// set first to the address of a link in front of it.
func (s *Site) Open(e *Endpoint) error {
	e.Site = s
	address, err := s.serve(e)
	e.address = address
	return err
}

// Stop simulates the end of an endpoint's process: connections are closed, and new ones refused.
func (s *Site) Stop(e *Endpoint) {
	e.mu.Lock()
	e.stopped = time.Now()
	e.mu.Unlock()
	s.mu.Lock()
	server := s.byAddress[e.address]
	s.mu.Unlock()
	if server != nil {
		_ = server.Close() // nothing to save
	}
}

// CrashOn makes every request with this body end the endpoint that begins to run it, as the first stage
// of a chain or as a plain endpoint. The endpoint's record stays in the store.
func (s *Site) CrashOn(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes == nil {
		s.crashes = make(map[string]bool)
	}
	s.crashes[body] = true
}

// CrashOnPart makes every request whose prompt has this part, other than as its last one, end the endpoint
// that begins to run it, like CrashOn.
func (s *Site) CrashOnPart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashingParts == nil {
		s.crashingParts = make(map[string]bool)
	}
	s.crashingParts[id] = true
}

// hasCrashingPart reports whether the header that names the parts of a prompt lists one marked by CrashOnPart
// before the last; s.mu is held.
func (s *Site) hasCrashingPart(header string) bool {
	parts := strings.Split(header, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool {
		id, _, _ := strings.Cut(part, ":")
		return s.crashingParts[id]
	})
}

// CrashOnMove makes every request with this body end the endpoints to which it is moved.
func (s *Site) CrashOnMove(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashesMoved = map[string]bool{body: true}
}

// crashMovedIfMarked ends the endpoints that are in chain to but not in from, if CrashOnMove has marked the
// body.
func (s *Site) crashMovedIfMarked(body string, from, to []stage) {
	kept := make(map[string]bool)
	for _, p := range from {
		kept[p.address] = true
	}
	for _, p := range to {
		e := s.endpointAt(p.address)
		s.mu.Lock()
		crashes := s.crashesMoved[body] && e != nil && !kept[p.address]
		if crashes {
			s.crashed = append(s.crashed, e)
		}
		s.mu.Unlock()
		if crashes {
			e.Silence()
			s.Stop(e)
		}
	}
}

// Crashed returns the endpoints that have ended under requests marked by CrashOn, CrashOnPart or CrashOnMove.
func (s *Site) Crashed() []*Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Endpoint(nil), s.crashed...)
}

// crashIfMarked ends an endpoint that begins to run a request, if CrashOn has marked the body or CrashOnPart a
// part of the prompt.
func (s *Site) crashIfMarked(e *Endpoint, r *http.Request, body []byte) {
	s.mu.Lock()
	crashes := s.crashes[string(body)] || s.hasCrashingPart(r.Header.Get("X-Prefix-Hash"))
	if crashes {
		s.crashed = append(s.crashed, e)
	}
	s.mu.Unlock()
	if crashes {
		e.recordBreak(r)
		if s.BeforeCrash != nil {
			s.BeforeCrash(e)
		}
		e.Silence()
		if s.CrashSilently {
			return // requests that run there hang
		}
		s.Stop(e)
		panic(http.ErrAbortHandler)
	}
}

// Register registers an endpoint opened by Open and writes its record to the store.
func (s *Site) Register(e *Endpoint) {
	s.mu.Lock()
	s.endpoints[e.Address()] = e
	s.mu.Unlock()
	s.Announce(e)
}

// NextModes sets the modes of the next requests that arrive at any endpoint of a
// service, in the order of their arrival.
func (s *Site) NextModes(service string, modes ...Mode) {
	s.modes.add(service, modes...)
}

// Record is the record of an endpoint in the store.
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

// defaultSlots is the default number of concurrent requests of an endpoint.
const defaultSlots = 64

// The states of a record.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// Announce writes the record of an endpoint to the store as ready.
func (s *Site) Announce(e *Endpoint) { s.announce(e, stateReady) }

// Leave writes the record of an endpoint as draining: it is about to end.
func (s *Site) Leave(e *Endpoint) { s.announce(e, stateDraining) }

// Overwrite replaces the record of an endpoint by a text, as another writer of the store might.
func (s *Site) Overwrite(e *Endpoint, text string) { s.Store.SetText("servers/"+e.ID, []byte(text)) }

// Withdraw removes the record of an endpoint, which keeps serving, and does not write it again by itself.
func (s *Site) Withdraw(e *Endpoint) {
	e.setState("")
	s.Store.Remove("servers/" + e.ID)
}

// update writes the record of an endpoint that has changed, in the state that it has, unless it has none.
func (s *Site) update(e *Endpoint) {
	if state := e.currentState(); state != "" {
		s.announce(e, state)
	}
}

func (s *Site) announce(e *Endpoint, state string) {
	e.setState(state)
	r := Record{Service: e.Service, Addr: e.Address(), Zone: e.Hall, Slots: cmp.Or(e.Slots, defaultSlots), State: state, Kind: e.Card, Born: e.StartedAt(), Version: "v1"}
	if e.Card != "" {
		from, to := e.Layers()
		r.Layers = map[string]int{"from": from, "to_version": to, "version": 1}
	}
	s.Store.Set("servers/"+e.ID, r)
}

// endpointAt returns the endpoint at an address, or nil if there is none.
func (s *Site) endpointAt(address string) *Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[address]
}

// firstUnavailable returns the address of the first stage of a chain that cannot run and the
// status of the refusal; the status is 0 if all can run. A dead endpoint is not
// refused: it shows only as a stall.
func (s *Site) firstUnavailable(chain []stage) (string, int) {
	for _, p := range chain {
		e := s.endpointAt(p.address)
		if e == nil {
			return p.address, http.StatusServiceUnavailable
		}
		if from, to := e.Layers(); p.from < from || p.to > to {
			return p.address, http.StatusMisdirectedRequest
		}
	}
	return "", 0
}

// check records a chain that does not run each layer once and in order.
func (s *Site) check(id string, chain []stage) {
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

// InvalidChains returns the chains that did not run each layer once and in order.
func (s *Site) InvalidChains() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.faults...)
}

// Close closes the servers of the store and of all endpoints.
func (s *Site) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close() // nothing to save
	}
}
