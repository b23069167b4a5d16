// Package adminhttp is the HTTP interface for operators: reading and conditionally changing
// the configuration, the state of the fleet, health, metrics and profiles. Set the fields of a
// Server and serve its Handler.
package adminhttp

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/policy"
	"github.com/grademill/grademill/state/configreplica"
	"github.com/grademill/grademill/state/headlog"
)

const (
	maxBody       = 256 << 10
	changeTimeout = 3 * time.Second
	headerWriteID = "Grademill-Write-Id"
)

// Changer applies changes to the configuration.
type Changer interface {
	// Change applies c and returns its revision. The object must be at revision *match, 0 if
	// it must not exist; nil allows any. A change whose id the head of the log contains
	// already is not applied again.
	Change(ctx context.Context, id string, c config.Change, match *uint64) (uint64, error)
	// Find returns the revision of the change with an ID, 0 if neither the recent changes nor
	// the head of the log contain it.
	Find(ctx context.Context, id string) (uint64, error)
}

// Status is the state of the fleet as one entry knows it.
type Status struct {
	// Revisions maps each known process to the revision of the configuration in force there.
	Revisions map[string]uint64 `json:"revisions"`
	// Endpoints are all known endpoints, including those that are leaving.
	Endpoints []fleet.Endpoint `json:"endpoints"`
}

// Server serves operators. Set the exported fields, then use Handler. If Changes is nil it
// serves only metrics, profiles and health.
type Server struct {
	// Operators maps the SHA-256 of each operator's key, in hexadecimal, to the operator's
	// name.
	Operators map[string]string
	// Changes applies changes to the configuration.
	Changes Changer
	// Config is the configuration in force in this process.
	Config *configreplica.Config
	// Status returns the state of the fleet.
	Status func() Status
	// Ready reports whether callers should be directed to this process.
	Ready func() bool
	// Metrics is the source for /metrics.
	Metrics prometheus.Gatherer
	// Log receives an audit line for each change.
	Log zerolog.Logger
}

// Handler returns the handler for all paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.Metrics, promhttp.HandlerOpts{}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	if s.Changes == nil {
		return mux
	}
	mux.HandleFunc("GET /admin/v1/status", s.operator(s.status))
	mux.HandleFunc("GET /admin/v1/writes/{id}", s.operator(s.writeOutcome))
	mux.HandleFunc("GET /admin/v1/{kind}", s.operator(s.list))
	mux.HandleFunc("GET /admin/v1/{kind}/{name}", s.operator(s.get))
	mux.HandleFunc("PUT /admin/v1/{kind}/{name}", s.operator(s.change))
	mux.HandleFunc("DELETE /admin/v1/{kind}/{name}", s.operator(s.change))
	return mux
}

// operator authenticates an operator and passes the operator's name to serve; other requests
// get status 401.
func (s *Server) operator(serve func(http.ResponseWriter, *http.Request, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		name, known := s.Operators[hex.EncodeToString(sum[:])]
		if !ok || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			answer(w, http.StatusUnauthorized, Result{Outcome: Refused, Detail: "an operator's key is needed"})
			return
		}
		serve(w, r, name)
	}
}

// The outcomes of a change. NotKnown means that it is uncertain whether the change was made.
const (
	Accepted = "accepted"
	Refused  = "refused"
	NotKnown = "not_known"
)

// Result is the response to a change.
type Result struct {
	// Outcome is Accepted, Refused or NotKnown.
	Outcome string `json:"outcome"`
	// Revision is the revision of an accepted change.
	Revision uint64 `json:"revision,omitempty"`
	// WriteID identifies the change, to query its outcome later if it is not known.
	WriteID string `json:"write_id,omitempty"`
	// Detail is the reason why a change was refused or its outcome is not known.
	Detail string `json:"detail,omitempty"`
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request, _ string) {
	answer(w, http.StatusOK, s.Status())
}

// list writes all objects of a kind.
func (s *Server) list(w http.ResponseWriter, r *http.Request, _ string) {
	state := s.Config.Current().State
	switch config.Kind(r.PathValue("kind")) {
	case config.KindService:
		answer(w, http.StatusOK, state.Services)
	case config.KindTeam:
		answer(w, http.StatusOK, state.Teams)
	case config.KindPolicy:
		answer(w, http.StatusOK, state.Policies)
	default:
		refuse(w, &config.KindError{Kind: config.Kind(r.PathValue("kind"))})
	}
}

// get writes one object, with its revision as ETag.
func (s *Server) get(w http.ResponseWriter, r *http.Request, _ string) {
	state := s.Config.Current().State
	kind, name := config.Kind(r.PathValue("kind")), r.PathValue("name")
	revision := state.ObjectRevision(kind, name)
	if revision == 0 {
		answer(w, http.StatusNotFound, Result{Outcome: Refused, Detail: "no " + string(kind) + "/" + name})
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(revision, 10)))
	switch kind {
	case config.KindService:
		answer(w, http.StatusOK, state.Services[name].Value)
	case config.KindTeam:
		answer(w, http.StatusOK, state.Teams[name].Value)
	case config.KindPolicy:
		answer(w, http.StatusOK, state.Policies[name].Value)
	}
}

// change writes or deletes one object, subject to the condition in the request's headers.
func (s *Server) change(w http.ResponseWriter, r *http.Request, who string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		answer(w, http.StatusRequestEntityTooLarge, Result{Outcome: Refused, Detail: err.Error()})
		return
	}
	match, err := ifMatch(r)
	if err != nil {
		answer(w, http.StatusBadRequest, Result{Outcome: Refused, Detail: err.Error()})
		return
	}
	c := config.Change{Who: who, At: time.Now().UTC(), Kind: config.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	if r.Method == http.MethodPut {
		c.Body = body
		if len(body) == 0 {
			answer(w, http.StatusBadRequest, Result{Outcome: Refused, Detail: "the body is empty"})
			return
		}
	}
	id := r.Header.Get(headerWriteID)
	if id == "" {
		id = uuid.NewString()
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	revision, err := s.Changes.Change(ctx, id, c, match)
	s.Log.Info().Str("who", who).Str("method", r.Method).Str("kind", string(c.Kind)).Str("name", c.Name).
		Str("write_id", id).Uint64("revision", revision).AnErr("error", err).Msg("configuration change")
	if err != nil {
		refuseChange(w, id, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(revision, 10)))
	answer(w, http.StatusOK, Result{Outcome: Accepted, Revision: revision, WriteID: id})
}

// matchError reports an invalid If-Match or If-None-Match header.
type matchError struct {
	text string
}

func (e *matchError) Error() string {
	return "If-Match must be one quoted revision, or If-None-Match *, not " + e.text
}

// ifMatch returns the revision that the object must have: 0 if it must not exist, nil for any.
func ifMatch(r *http.Request) (*uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return new(uint64), nil
	}
	text := r.Header.Get("If-Match")
	if text == "" || text == "*" {
		return nil, nil
	}
	inner, err := strconv.Unquote(text)
	if err != nil {
		return nil, &matchError{text}
	}
	revision, err := strconv.ParseUint(inner, 10, 64)
	if err != nil {
		return nil, &matchError{text}
	}
	return &revision, nil
}

// refuseChange writes why a change was refused, or that its outcome is not known.
func refuseChange(w http.ResponseWriter, id string, err error) {
	var uncertain *headlog.UncertainError
	if errors.As(err, &uncertain) {
		answer(w, http.StatusAccepted, Result{Outcome: NotKnown, WriteID: id, Detail: trace.UserMessage(err)})
		return
	}
	refuse(w, err)
}

// refuse writes a refusal, with the status for its cause.
func refuse(w http.ResponseWriter, err error) {
	var match *config.MatchError
	var invalid *config.InvalidError
	var kind *config.KindError
	var compile *policy.CompileError
	result := Result{Outcome: Refused, Detail: err.Error()}
	switch {
	case errors.As(err, &match):
		result.Detail = match.Error()
		answer(w, http.StatusPreconditionFailed, result)
	case errors.As(err, &invalid):
		result.Detail = invalid.Error()
		answer(w, http.StatusUnprocessableEntity, result)
	case errors.As(err, &compile):
		result.Detail = compile.Error()
		answer(w, http.StatusUnprocessableEntity, result)
	case errors.As(err, &kind):
		result.Detail = kind.Error()
		answer(w, http.StatusNotFound, result)
	default:
		w.Header().Set("Retry-After", "1")
		answer(w, http.StatusServiceUnavailable, result)
	}
}

// writeOutcome serves the outcome of an earlier change, found by its write ID.
func (s *Server) writeOutcome(w http.ResponseWriter, r *http.Request, _ string) {
	id := r.PathValue("id")
	revision, err := s.Changes.Find(r.Context(), id)
	switch {
	case err != nil:
		answer(w, http.StatusServiceUnavailable, Result{Outcome: NotKnown, WriteID: id, Detail: err.Error()})
	case revision == 0:
		answer(w, http.StatusNotFound, Result{Outcome: NotKnown, WriteID: id, Detail: "the log does not have it now"})
	default:
		answer(w, http.StatusOK, Result{Outcome: Accepted, Revision: revision, WriteID: id})
	}
}
