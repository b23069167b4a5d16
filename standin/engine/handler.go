package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/layer"
	port "github.com/grademill/grademill/port/engine"
	"github.com/grademill/grademill/wire"
)

// Order is the body of a request to load layers of a service.
type Order struct {
	Term    uint64      `json:"term"`
	Service string      `json:"service"`
	Layers  layer.Range `json:"layers"`
}

// Handler returns a handler of the engine's protocol: POST /v1/steps,
// GET /v1/status, POST /v1/load and, for tests, GET /v1/record.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/steps", e.serveSteps)
	mux.HandleFunc("POST /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		status, _ := e.Status(r.Context())
		_ = json.NewEncoder(w).Encode(status)
	})
	mux.HandleFunc("GET /v1/record", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.Record())
	})
	return mux
}

func (e *Engine) serveSteps(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	batch := new(wire.EngineBatch)
	if err := proto.Unmarshal(body, batch); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	outputs, _ := e.Run(r.Context(), batch)
	out, err := proto.Marshal(outputs)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(out)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := e.Load(r.Context(), order.Term, order.Service, order.Layers)
	var stale *port.StaleTermError
	if errors.As(err, &stale) {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(stale)
	}
}
