package callerhttp

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/port/router"
)

// Problem is the body of an error response (RFC 9457).
type Problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Code    string `json:"code"`
	// RetryAfter is the delay in seconds after which to retry, 0 if a retry is no use.
	RetryAfter int `json:"retry_after,omitempty"`
}

// statuses maps codes to HTTP statuses; codes not listed map to 503.
var statuses = map[outcome.Code]int{
	outcome.BadRequest:   http.StatusBadRequest,
	outcome.TooLarge:     http.StatusRequestEntityTooLarge,
	outcome.Unauthorized: http.StatusUnauthorized,
	outcome.Forbidden:    http.StatusForbidden,
	outcome.UnknownModel: http.StatusNotFound,
	outcome.Overloaded:   http.StatusTooManyRequests,
	outcome.DeadlineOver: http.StatusGatewayTimeout,
	outcome.Conflict:     http.StatusUnprocessableEntity,
	outcome.Uncertain:    http.StatusBadGateway,
	outcome.StageLost:    http.StatusBadGateway,
	outcome.Internal:     http.StatusInternalServerError,
}

// problemOf returns the response body for a report.
func problemOf(r *outcome.Report) Problem {
	status, ok := statuses[r.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return Problem{
		Type: "urn:grademill:problem:" + string(r.Code), Title: string(r.Code), Status: status, Detail: r.Detail,
		Outcome: r.Kind.String(), Code: string(r.Code), RetryAfter: int(math.Ceil(r.RetryAfter.Seconds())),
	}
}

// writeProblem writes a report as the whole response.
func writeProblem(w http.ResponseWriter, r *outcome.Report) {
	p := problemOf(r)
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// choice is one answer of a completion. FinishReason marks its end: an answer without it is
// incomplete.
type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text"`
	Tokens       []uint32 `json:"tokens"`
	FinishReason *string  `json:"finish_reason"`
}

// usage holds the number of tokens and attempts of a complete answer.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
	Attempts         int `json:"attempts"`
}

// completion is a complete answer, or one event of a streamed one.
type completion struct {
	ID      string   `json:"id,omitempty"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// finishLength is the finish reason of an answer of the requested length.
const finishLength = "length"

// completionWriter writes a completion, streamed or as one body.
type completionWriter struct {
	w      http.ResponseWriter
	model  string
	stream bool
	begun  bool
	tokens []uint32
}

// token adds one token of the answer.
func (c *completionWriter) token(token uint32) error {
	if !c.stream {
		c.tokens = append(c.tokens, token)
		return nil
	}
	return c.event("", c.body([]uint32{token}))
}

// body returns a completion that contains tokens.
func (c *completionWriter) body(tokens []uint32) completion {
	return completion{
		Object: "text_completion", Model: c.model,
		Choices: []choice{{Text: text(tokens), Tokens: tokens}},
	}
}

// text returns tokens as text. Each token is one character, since there is no tokenizer.
func text(tokens []uint32) string {
	runes := make([]rune, len(tokens))
	for i, token := range tokens {
		runes[i] = rune(token)
	}
	return string(runes)
}

// event writes one server-sent event and flushes it.
func (c *completionWriter) event(kind string, body any) error {
	if !c.begun {
		c.begun = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-store")
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if kind != "" {
		kind = "event: " + kind + "\n"
	}
	if _, err := fmt.Fprintf(c.w, "%sdata: %s\n\n", kind, data); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// end writes the finish reason and the usage, or the problem.
func (c *completionWriter) end(u router.Usage, err error) {
	report, failed := outcome.Of(err)
	switch {
	case failed && !c.begun:
		if u.Request != "" {
			c.w.Header().Set(headerRequest, u.Request)
		}
		writeProblem(c.w, report)
	case failed:
		_ = c.event("error", problemOf(report))
	case c.stream:
		last := c.finished(nil, u)
		_ = c.event("", last)
		_, _ = fmt.Fprint(c.w, "data: [DONE]\n\n")
	default:
		c.w.Header().Set("Content-Type", "application/json")
		c.w.Header().Set(headerRequest, u.Request)
		_ = json.NewEncoder(c.w).Encode(c.finished(c.tokens, u))
	}
}

// finished returns the completion with the finish reason and the usage.
func (c *completionWriter) finished(tokens []uint32, u router.Usage) completion {
	body := c.body(tokens)
	reason := finishLength
	body.ID = u.Request
	body.Choices[0].FinishReason = &reason
	body.Usage = &usage{CompletionTokens: u.Tokens, Attempts: u.Attempts}
	return body
}
