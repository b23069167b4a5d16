// Package engine defines the interface to a model engine, which holds a range of a model's
// layers and runs batches of steps through them.
package engine

import (
	"context"
	"fmt"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/wire"
)

// Status is an engine's own report.
type Status struct {
	// Service is the service whose model is loaded, empty if none is.
	Service string `json:"service"`
	// Layers is the range of layers that the engine holds.
	Layers layer.Range `json:"layers"`
	// MaxBatch is the largest number of steps in a batch.
	MaxBatch int `json:"max_batch"`
	// Term is the highest leader term among the orders that the engine has accepted.
	Term uint64 `json:"term"`
}

// Engine runs steps through the layers of a model. Its methods are safe for concurrent use.
type Engine interface {
	// Run runs a batch of steps and returns their outputs in the order of the steps.
	Run(ctx context.Context, batch *wire.EngineBatch) (*wire.EngineOutputs, error)
	// Status returns the engine's report.
	Status(ctx context.Context) (Status, error)
	// Load loads the layers of a service's model into memory, by an order of the leader
	// of the given term. It returns a StaleTermError if the engine has seen a higher term.
	Load(ctx context.Context, term uint64, service string, layers layer.Range) error
}

// StaleTermError reports an order from a leader that has been replaced.
type StaleTermError struct {
	// Term is the term of the order, Seen the highest term that the engine has seen.
	Term, Seen uint64
}

// Error returns a message with both terms.
func (e *StaleTermError) Error() string {
	return fmt.Sprintf("order of term %d, term %d has been seen", e.Term, e.Seen)
}
