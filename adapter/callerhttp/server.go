// Package callerhttp is an entry's HTTP interface for callers: completions in the request
// format that is customary for model servers, and calls of plain services by name. Set the
// fields of a Server and serve its Handler.
package callerhttp

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/port/router"
)

// Limits on callers' requests: body and key in bytes, prompt and answer in tokens.
// defaultLimit is the number of tokens if max_tokens is absent.
const (
	maxBody      = 1 << 20
	maxPrompt    = 128 << 10
	maxAnswer    = 32 << 10
	maxKey       = 255
	defaultLimit = 16
)

// Headers of callers' requests and of responses.
const (
	headerDeadline = "Grademill-Deadline-Ms"
	headerKey      = "Idempotency-Key"
	headerRequest  = "Grademill-Request-Id"
)

// Server serves callers. Set the exported fields, then use Handler.
type Server struct {
	// Router routes the requests to endpoints.
	Router router.Router
	// Team returns the team whose key has the given SHA-256 in hexadecimal.
	Team func(hash string) (string, bool)
	// Ready reports whether callers should be directed to this process.
	Ready func() bool
}

// Handler returns the handler for all paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.completions)
	mux.HandleFunc("/v1/services/{service}/{path...}", s.services)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    prompt `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// prompt is a list of tokens. In JSON it is an array of tokens, or a text with one token per
// byte.
type prompt []uint32

// UnmarshalJSON decodes either form.
func (p *prompt) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		for i := range len(text) {
			*p = append(*p, uint32(text[i]))
		}
		return nil
	}
	var tokens []uint32
	if err := json.Unmarshal(data, &tokens); err != nil {
		return err
	}
	*p = tokens
	return nil
}

// authenticate returns the caller's team; if there is none, it writes a refusal and returns
// false.
func (s *Server) authenticate(w http.ResponseWriter, r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok && key != "" {
		sum := sha256.Sum256([]byte(key))
		if team, known := s.Team(hex.EncodeToString(sum[:])); known {
			return team, true
		}
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeProblem(w, outcome.Refuse(outcome.Unauthorized, "a valid key is needed", 0))
	return "", false
}

// deadline returns the deadline that the request's header sets, the zero time if it has none.
func deadline(r *http.Request) (time.Time, *outcome.Report) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return time.Time{}, outcome.Refuse(outcome.BadRequest, headerDeadline+" must be a positive number of milliseconds", 0)
	}
	return time.Now().Add(time.Duration(millis) * time.Millisecond), nil
}

// body reads the request body, up to maxBody bytes.
func body(w http.ResponseWriter, r *http.Request) ([]byte, *outcome.Report) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, outcome.Refuse(outcome.TooLarge, "the body is larger than "+strconv.Itoa(maxBody)+" bytes", 0)
	case err != nil:
		return nil, outcome.Refuse(outcome.BadRequest, "the body was cut: "+err.Error(), 0)
	}
	return data, nil
}

// completions serves a completion request.
func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	team, ok := s.authenticate(w, r)
	if !ok {
		return
	}
	request, stream, report := parseCompletion(w, r)
	if report != nil {
		writeProblem(w, report)
		return
	}
	request.Team = team
	out := &completionWriter{w: w, model: request.Service, stream: stream}
	usage, err := s.Router.Complete(r.Context(), request, out.token)
	out.end(usage, err)
}

// parseCompletion decodes and checks a completion request, and reports whether it asks for a
// stream.
func parseCompletion(w http.ResponseWriter, r *http.Request) (router.Completion, bool, *outcome.Report) {
	data, report := body(w, r)
	if report != nil {
		return router.Completion{}, false, report
	}
	var in completionRequest
	if err := json.Unmarshal(data, &in); err != nil {
		return router.Completion{}, false, outcome.Refuse(outcome.BadRequest, "body: "+err.Error(), 0)
	}
	limit := defaultLimit
	if in.MaxTokens != nil {
		limit = *in.MaxTokens
	}
	switch {
	case in.Model == "":
		report = outcome.Refuse(outcome.BadRequest, "model: is missing", 0)
	case len(in.Prompt) == 0:
		report = outcome.Refuse(outcome.BadRequest, "prompt: is empty", 0)
	case len(in.Prompt) > maxPrompt:
		report = outcome.Refuse(outcome.TooLarge, "prompt: at most "+strconv.Itoa(maxPrompt)+" tokens", 0)
	case limit < 1 || limit > maxAnswer:
		report = outcome.Refuse(outcome.BadRequest, "max_tokens: must be from 1 to "+strconv.Itoa(maxAnswer), 0)
	}
	if report != nil {
		return router.Completion{}, false, report
	}
	at, report := deadline(r)
	return router.Completion{Service: in.Model, Prompt: in.Prompt, MaxTokens: limit, Deadline: at}, in.Stream, report
}

// services serves a call of a plain service.
func (s *Server) services(w http.ResponseWriter, r *http.Request) {
	team, ok := s.authenticate(w, r)
	if !ok {
		return
	}
	data, report := body(w, r)
	if report == nil && len(r.Header.Get(headerKey)) > maxKey {
		report = outcome.Refuse(outcome.BadRequest, headerKey+" is too long", 0)
	}
	at, badDeadline := deadline(r)
	if report == nil {
		report = badDeadline
	}
	if report != nil {
		writeProblem(w, report)
		return
	}
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	reply, err := s.Router.Call(r.Context(), router.Call{
		Team: team, Service: r.PathValue("service"), Key: r.Header.Get(headerKey), Method: r.Method,
		Path: path, Body: data, ContentType: r.Header.Get("Content-Type"), Deadline: at,
	})
	if report, failed := outcome.Of(err); failed {
		writeProblem(w, report)
		return
	}
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
