package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/grademill/grademill/decide/assignment"
	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/flow"
	"github.com/grademill/grademill/decide/policy"
	"github.com/grademill/grademill/decide/rendezvous"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/wire"
)

// orderKey is the key in the store whose holder gives orders. Its revision is the term, which
// increases with each new holder. Agents and engines refuse lower terms, so a holder that resumes
// after a pause does no harm.
const orderKey = "orders/holder"

// orderCandidates is the number of entries that compete for the key.
const orderCandidates = 3

// lead gives orders while this entry holds the key.
func (e *Entry) lead(ctx context.Context) {
	for ctx.Err() == nil {
		if e.mayLead() {
			if lease, term, err := e.elect(ctx); err == nil {
				e.giveOrders(ctx, lease, term)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(e.OrderLease / 2):
		}
	}
}

// mayLead reports whether this entry is among the candidates for the key.
func (e *Entry) mayLead() bool {
	if e.draining.Load() || e.config.Revision() == 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var addresses []string
	for _, p := range e.peers.All() {
		addresses = append(addresses, p.GetAddress())
	}
	return len(addresses) == 0 || slices.Contains(rendezvous.Top(orderKey, addresses, orderCandidates), e.Address)
}

// elect takes the key if nobody holds it, and returns the lease and the term.
func (e *Entry) elect(ctx context.Context) (lease string, term uint64, err error) {
	_, err = e.Store.Get(ctx, orderKey)
	var missing *kv.NotFoundError
	if !errors.As(err, &missing) {
		return "", 0, &heldError{}
	}
	lease, err = e.Store.Grant(ctx, e.OrderLease)
	if err != nil {
		return "", 0, err
	}
	term, err = e.Store.Put(ctx, kv.Write{Key: orderKey, Value: []byte(e.Name), Lease: lease})
	return lease, term, err
}

// heldError reports that another entry holds the key, or that the key cannot be read.
type heldError struct{}

// Error returns a fixed message.
func (*heldError) Error() string {
	return "another entry gives orders"
}

// giveOrders plans and gives orders until the lease cannot be renewed.
func (e *Entry) giveOrders(ctx context.Context, lease string, term uint64) {
	e.Log.Info().Uint64("term", term).Msg("this entry gives orders")
	e.raiseTerm(term)
	for e.term.Load() == term && !e.draining.Load() {
		e.plan(ctx, term)
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.OrderLease / 3):
		}
		if err := e.Store.KeepAlive(ctx, lease); err != nil {
			e.Log.Warn().Err(err).Uint64("term", term).Msg("lease not renewed, no more orders")
			return
		}
	}
}

// plan plans and gives one round of orders.
func (e *Entry) plan(ctx context.Context, term uint64) {
	snapshot := e.snapshot.Load()
	current := e.config.Current()
	hosts := make([]assignment.Host, 0, len(snapshot.Idle))
	idle := make(map[string]fleet.Endpoint)
	for _, ep := range snapshot.Idle {
		idle[ep.Name] = ep
		hosts = append(hosts, assignment.Host{Name: ep.Name, Allowed: func(service string) bool {
			return current.Policies.MayPlace(policy.Host{Hall: ep.Hall, Service: service})
		}})
	}
	if len(hosts) == 0 {
		return
	}
	for _, o := range (assignment.Planner{}).Plan(e.models(), hosts) {
		e.order(ctx, term, idle[o.Host], o)
	}
}

// models returns the models that may be placed, with the layers that endpoints hold now.
func (e *Entry) models() []assignment.Model {
	snapshot := e.snapshot.Load()
	var models []assignment.Model
	for name, service := range e.config.Current().State.Services {
		if service.Value.Kind != config.Model {
			continue
		}
		m := assignment.Model{Service: name, Layers: service.Value.Layers, PerEngine: service.Value.LayersPerEngine}
		if table := snapshot.Models[name]; table != nil {
			for _, c := range table.Candidates {
				m.Held = append(m.Held, flow.Edge{Layers: c.Endpoint.Layers, Capacity: 1})
			}
		}
		models = append(models, m)
	}
	return models
}

// order sends one order to an endpoint.
func (e *Entry) order(ctx context.Context, term uint64, to fleet.Endpoint, o assignment.Order) {
	reply := new(wire.OrderReply)
	err := e.client.Call(ctx, to.Address, "order", &wire.Order{
		Term: term, Incarnation: to.Incarnation, Service: o.Service,
		First: uint32(o.Layers.First), End: uint32(o.Layers.End), Giver: e.Name,
	}, reply)
	e.raiseTerm(reply.GetTerm())
	e.Log.Info().Uint64("term", term).Str("endpoint", o.Host).Str("service", o.Service).
		Stringer("layers", o.Layers).Float64("gain", o.Gain).Bool("accepted", reply.GetAccepted()).
		Str("detail", reply.GetDetail()).AnErr("error", err).Msg("order given")
}
