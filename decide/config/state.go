// Package config defines the operators' configuration of services, teams and policies. Check
// validates an object, and State.With applies a change to a State.
package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The kinds of services.
const (
	Model ServiceKind = "model"
	Plain ServiceKind = "plain"
)

// Service is something that callers request by name.
type Service struct {
	Kind ServiceKind `json:"kind" validate:"required,oneof=model plain"`
	// Model is the model's name, set for kind model only.
	Model string `json:"model,omitempty" validate:"required_if=Kind model,max=128"`
	// Version is the model's version.
	Version string `json:"version,omitempty" validate:"max=64"`
	// Layers is the number of layers, set for kind model only.
	Layers int `json:"layers,omitempty" validate:"required_if=Kind model,min=0,max=10000"`
	// Repeatable is whether a request may run more than once unless a policy decides otherwise.
	Repeatable bool `json:"repeatable"`
	// LayersPerEngine is the number of layers that one engine can hold; zero turns placement
	// off for the service.
	LayersPerEngine int `json:"layers_per_engine,omitempty" validate:"min=0,max=10000"`
}

// Team is a group of callers.
type Team struct {
	// Weight is the team's relative share; zero means 1.
	Weight float64 `json:"weight,omitempty" validate:"min=0,max=1000000"`
	// KeySHA256 are the hexadecimal SHA-256 hashes of the team's API keys.
	KeySHA256 []string `json:"key_sha256" validate:"max=16,dive,len=64,hexadecimal,lowercase"`
	// MaxInFlight bounds the team's concurrent requests at one entry; zero means no bound.
	MaxInFlight int `json:"max_in_flight,omitempty" validate:"min=0"`
	// Services are the services that the team may call: all if it is nil, none if it is empty.
	Services []string `json:"services,omitzero" validate:"max=256"`
}

// MayCall reports whether the team may call a service.
func (t Team) MayCall(service string) bool {
	return t.Services == nil || slices.Contains(t.Services, service)
}

// Policy sets how a class of requests is treated. Its string fields are CEL expressions; an
// empty one keeps the default.
type Policy struct {
	// Match selects the requests, a bool.
	Match string `json:"match" validate:"required,max=4096"`
	// Repeatable is whether a request may run more than once, a bool.
	Repeatable string `json:"repeatable,omitempty" validate:"max=4096"`
	// Priority is an int; a higher one is served first.
	Priority string `json:"priority,omitempty" validate:"max=4096"`
	// Deadline is the longest time that a request may take, a duration.
	Deadline string `json:"deadline,omitempty" validate:"max=4096"`
	// Place is whether a model may be loaded on a host, a bool over host.
	Place string `json:"place,omitempty" validate:"max=4096"`
	// Recovery is "resume" or "fail", a string: whether an answer continues along another chain
	// after its chain has lost a stage.
	Recovery string `json:"recovery,omitempty" validate:"max=4096"`
	// Order ranks policies: of those that match, the one with the lowest Order applies.
	Order int `json:"order"`
}

// Kind is a kind of configuration object.
type Kind string

// The kinds of objects.
const (
	KindService Kind = "services"
	KindTeam    Kind = "teams"
	KindPolicy  Kind = "policies"
)

// Change is one write by an operator.
type Change struct {
	// Who is the operator that made the change.
	Who string `json:"who"`
	// At is the clock of the entry that accepted the change, for display only.
	At   time.Time `json:"at"`
	Kind Kind      `json:"kind"`
	Name string    `json:"name"`
	// Body is the object, or null to delete it.
	Body json.RawMessage `json:"body"`
}

// Object is a configured value with the revision that wrote it.
type Object[T any] struct {
	Revision uint64 `json:"revision"`
	Value    T      `json:"value"`
}

// State is the whole configuration at one revision. It is immutable: With returns a changed
// copy. The zero State is the empty configuration.
type State struct {
	// Revision is that of the last change; it only increases.
	Revision uint64                     `json:"revision"`
	Services map[string]Object[Service] `json:"services,omitempty"`
	Teams    map[string]Object[Team]    `json:"teams,omitempty"`
	Policies map[string]Object[Policy]  `json:"policies,omitempty"`
}

// OrderError reports a change whose revision does not follow that of the state.
type OrderError struct {
	// Have is the state's revision, Got the change's.
	Have, Got uint64
}

// Error returns a message with both revisions.
func (e *OrderError) Error() string {
	return fmt.Sprintf("change %d does not follow revision %d", e.Got, e.Have)
}

// KindError reports an unknown kind of object.
type KindError struct {
	Kind Kind
}

// Error returns a message with the kind and the valid ones.
func (e *KindError) Error() string {
	return fmt.Sprintf("no objects of kind %q: use services, teams or policies", string(e.Kind))
}

// MatchError reports a conditional change whose condition does not hold.
type MatchError struct {
	Kind Kind
	Name string
	// Have is the object's revision, 0 when it does not exist; Want is the revision that the
	// change requires.
	Have, Want uint64
}

// Error returns a message with the object and both revisions.
func (e *MatchError) Error() string {
	return fmt.Sprintf("%s/%s is at revision %d, not %d", e.Kind, e.Name, e.Have, e.Want)
}

// ObjectRevision returns the revision of an object, 0 when it does not exist.
func (s *State) ObjectRevision(kind Kind, name string) uint64 {
	switch kind {
	case KindService:
		return s.Services[name].Revision
	case KindTeam:
		return s.Teams[name].Revision
	case KindPolicy:
		return s.Policies[name].Revision
	}
	return 0
}

// With returns the state after a change with the given revision. It returns an OrderError
// unless the revision is the next one, and a KindError for an unknown kind.
func (s *State) With(revision uint64, c Change) (*State, error) {
	if revision != s.Revision+1 {
		return nil, trace.Wrap(&OrderError{s.Revision, revision})
	}
	next := *s
	next.Revision = revision
	var err error
	switch c.Kind {
	case KindService:
		next.Services, err = applyChange(s.Services, revision, c)
	case KindTeam:
		next.Teams, err = applyChange(s.Teams, revision, c)
	case KindPolicy:
		next.Policies, err = applyChange(s.Policies, revision, c)
	default:
		err = trace.Wrap(&KindError{c.Kind})
	}
	if err != nil {
		return nil, err
	}
	return &next, nil
}

// applyChange returns a copy of objects with one change applied.
func applyChange[T any](objects map[string]Object[T], revision uint64, c Change) (map[string]Object[T], error) {
	next := maps.Clone(objects)
	if len(c.Body) == 0 || string(c.Body) == "null" {
		delete(next, c.Name)
		return next, nil
	}
	if next == nil {
		next = make(map[string]Object[T])
	}
	var value T
	if err := json.Unmarshal(c.Body, &value); err != nil {
		return nil, trace.Wrap(err, "%s/%s", c.Kind, c.Name)
	}
	next[c.Name] = Object[T]{revision, value}
	return next, nil
}
