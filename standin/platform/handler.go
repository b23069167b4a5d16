package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/grademill/grademill/port/hosts"
	"github.com/grademill/grademill/port/kv"
)

// Paths of the methods that the handler serves.
const (
	PathGet       = "/v1/get"
	PathList      = "/v1/list"
	PathPut       = "/v1/put"
	PathDelete    = "/v1/delete"
	PathWatch     = "/v1/watch"
	PathGrant     = "/v1/grant"
	PathKeepAlive = "/v1/keepalive"
	PathHosts     = "/v1/hosts"
)

// Handler returns a handler of the store's protocol: POST requests with JSON
// bodies. Tests use /test/fault to inject faults, /test/hosts to set the host list
// and /test/calls to count the calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathGet, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(q kv.Pair) (kv.Pair, error) { return s.Get(r.Context(), q.Key) })
	})
	mux.HandleFunc("POST "+PathList, func(w http.ResponseWriter, r *http.Request) {
		limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
		after := r.URL.Query().Get("after")
		serve(w, r, func(q kv.Pair) ([]kv.Pair, error) { return s.List(r.Context(), q.Key, after, limit) })
	})
	mux.HandleFunc("POST "+PathPut, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(q kv.Write) (uint64, error) { return s.Put(r.Context(), q) })
	})
	mux.HandleFunc("POST "+PathDelete, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(q kv.Pair) (bool, error) { return true, s.Delete(r.Context(), q.Key, q.Revision) })
	})
	mux.HandleFunc("POST "+PathWatch, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(q kv.Pair) ([]kv.Pair, error) { return s.Watch(r.Context(), q.Key, q.Revision) })
	})
	mux.HandleFunc("POST "+PathGrant, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(ttl time.Duration) (string, error) { return s.Grant(r.Context(), ttl) })
	})
	mux.HandleFunc("POST "+PathKeepAlive, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(id string) (bool, error) { return true, s.KeepAlive(r.Context(), id) })
	})
	mux.HandleFunc("POST "+PathHosts, func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(struct{}) ([]hosts.Host, error) { return s.Hosts(r.Context()) })
	})
	s.handleTests(mux)
	return mux
}

func (s *Store) handleTests(mux *http.ServeMux) {
	mux.HandleFunc("POST /test/fault", func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(f Fault) (bool, error) {
			s.SetFault(f)
			return true, nil
		})
	})
	mux.HandleFunc("POST /test/hosts", func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(list []hosts.Host) (bool, error) {
			s.SetHosts(list)
			return true, nil
		})
	})
	mux.HandleFunc("POST /test/calls", func(w http.ResponseWriter, r *http.Request) {
		serve(w, r, func(struct{}) (map[string]int, error) { return s.Calls(), nil })
	})
}

// serve decodes the request body, calls answer, and encodes its reply, or maps its
// error to a status.
func serve[Req, Rep any](w http.ResponseWriter, r *http.Request, answer func(Req) (Rep, error)) {
	var request Req
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := answer(request)
	var missing *kv.NotFoundError
	var conflict *kv.ConflictError
	switch {
	case err == nil:
		_ = json.NewEncoder(w).Encode(reply)
	case errors.As(err, &missing):
		http.Error(w, missing.Key, http.StatusNotFound)
	case errors.As(err, &conflict):
		http.Error(w, strconv.FormatUint(conflict.Revision, 10), http.StatusConflict)
	case trace.IsLimitExceeded(err):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
