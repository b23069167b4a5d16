// Package engine is the port to a model engine.
package engine

import (
	"context"
	"fmt"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/wire"
)

// Status is what an engine says of itself.
type Status struct {
	// Service is the service whose model is loaded; empty for none.
	Service string `json:"service"`
	// Layers is the range held.
	Layers layer.Range `json:"layers"`
	// MaxBatch is the number of steps that the engine takes together.
	MaxBatch int `json:"max_batch"`
	// Term is the highest term of an order that the engine has taken.
	Term uint64 `json:"term"`
}

// Engine runs layers. All methods are safe for concurrent use.
type Engine interface {
	// Run runs a batch of steps; the outputs stand in the order of the steps.
	Run(ctx context.Context, batch *wire.EngineBatch) (*wire.EngineOutputs, error)
	// Status returns what is loaded.
	Status(ctx context.Context) (Status, error)
	// Load takes the layers of a service into memory. An engine that has seen
	// a higher term returns a StaleTermError.
	Load(ctx context.Context, term uint64, service string, layers layer.Range) error
}

// StaleTermError is an order of a giver that has been replaced.
type StaleTermError struct {
	// Term is the term of the order, Seen the highest one seen.
	Term, Seen uint64
}

// Error returns both terms.
func (e *StaleTermError) Error() string {
	return fmt.Sprintf("order of term %d, term %d has been seen", e.Term, e.Seen)
}
