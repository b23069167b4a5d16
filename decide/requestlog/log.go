// Package requestlog reconstructs from the logs of the gateways what happened to a request and why.
// A Log reads the logs; Write prints the relevant lines, and Verdict returns the result.
package requestlog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is a line of a log.
type Line struct {
	At      time.Time
	Process string
	Message string
	// Fields holds all other fields, unparsed.
	Fields map[string]json.RawMessage
}

// Log collects the lines relevant to one request. Set the exported fields, then Read each log.
type Log struct {
	// Request is the ID of the request.
	Request string
	// Before is how far back before the request's first line the state of its gateways is relevant.
	Before time.Duration

	// requestLines are the lines that name the request. stateLines are those that change a
	// gateway's view of an endpoint, the configuration or the store.
	requestLines, stateLines []Line
	// levelLines are those about the level of a service.
	levelLines []Line
}

// stateMessages are the beginnings of messages that change a gateway's view.
var stateMessages = []string{
	"endpoint ", "first endpoint ", "configuration ", "the store ", "order given", "this gateway ", "nobody gives orders",
	"record not understood", "record of an endpoint", "request is quarantined", "gateway ", "the right to give orders", "settings ",
}

// departureMessages are the beginnings of messages about whether an endpoint accepts new work.
var departureMessages = []string{
	"endpoint gone", "endpoint says that it leaves", "endpoint has left", "record of an endpoint that has left",
}

// departs reports whether the line states that an endpoint accepts no new work.
func (l *Line) departs() bool {
	begins := func(prefix string) bool { return strings.HasPrefix(l.Message, prefix) }
	return slices.ContainsFunc(departureMessages, begins) || l.Message == "endpoint changed" && string(l.Fields["leaving"]) == "true"
}

// Read reads a log. It skips and counts lines that are not JSON, such as those of a crash.
func (s *Log) Read(r io.Reader) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			skipped++
			continue
		}
		line, ok := parse(text[start:])
		if !ok {
			skipped++
			continue
		}
		s.add(line)
	}
	return skipped, scanner.Err()
}

// parse parses a line.
func parse(text string) (Line, bool) {
	line := Line{Fields: make(map[string]json.RawMessage)}
	if json.Unmarshal([]byte(text), &line.Fields) != nil {
		return line, false
	}
	line.Message, line.Process = line.remove("message"), line.remove("process")
	at, err := time.Parse(time.RFC3339Nano, line.remove("time"))
	line.At = at
	delete(line.Fields, "level")
	return line, err == nil && line.Message != ""
}

// remove deletes a field and returns its text.
func (l *Line) remove(name string) string {
	var text string
	_ = json.Unmarshal(l.Fields[name], &text) // a field of another type has no text
	delete(l.Fields, name)
	return text
}

// text returns the text of a field, empty if it is missing.
func (l *Line) text(name string) string {
	var text string
	_ = json.Unmarshal(l.Fields[name], &text) // a field of another type has no text
	return text
}

// concerns reports whether the line contains one of some fingerprints.
func (l *Line) concerns(fingerprints []string) bool {
	var begun []string
	_ = json.Unmarshal(l.Fields["begun"], &begun) // few lines have it
	return slices.ContainsFunc(fingerprints, func(f string) bool { return l.text("print") == f || slices.Contains(begun, f) })
}

// fingerprints returns that of the request of the line, and that of the cause for which it was refused, which is written
// after the ID of a part of its prompt.
func (l *Line) fingerprints() []string {
	var list []string
	for _, text := range []string{l.text("print"), l.text("cause")} {
		if text != "" {
			list = append(list, text[strings.Index(text, "=")+1:])
		}
	}
	return list
}

// add stores a line if it is relevant.
func (s *Log) add(l Line) {
	if l.text("request") == s.Request {
		s.requestLines = append(s.requestLines, l)
		return
	}
	if strings.HasPrefix(l.Message, messageLevel) {
		s.levelLines = append(s.levelLines, l)
		return
	}
	for _, prefix := range stateMessages {
		if strings.HasPrefix(l.Message, prefix) {
			s.stateLines = append(s.stateLines, l)
			return
		}
	}
}

// Lines returns the relevant lines in ascending order of time: the decisions about the request, the
// changes in its gateways' view of the endpoints that it names, all gateways' lines about these
// endpoints' departure, however long before, all gateways' lines about endpoints that crashed under
// the same request, including earlier attempts, and the level by which the request was refused.
func (s *Log) Lines() []Line {
	if len(s.requestLines) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(s.requestLines, byTime)
	from, to := s.requestLines[0].At.Add(-s.Before), s.requestLines[len(s.requestLines)-1].At
	processes := make(map[string]bool)
	var mentioned strings.Builder
	endpoints := make(map[string]bool)
	var fingerprints []string
	for _, l := range s.requestLines {
		processes[l.Process] = true
		fingerprints = append(fingerprints, l.fingerprints()...)
		endpoints[l.text("endpoint")] = true
		for _, value := range l.Fields {
			mentioned.Write(value)
		}
	}
	lines := s.withLevels(slices.Clone(s.requestLines))
	for _, l := range s.stateLines {
		if l.concerns(fingerprints) || l.departs() && endpoints[l.text("endpoint")] {
			if !l.At.After(to) {
				lines = append(lines, l)
			}
			continue
		}
		address := l.text("address")
		relevant := l.text("print") == "" && (address == "" || strings.Contains(mentioned.String(), address))
		if processes[l.Process] && relevant && l.At.After(from) && !l.At.After(to) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process)) })
	return lines
}

// Write writes the relevant lines with the time since the first one.
func (s *Log) Write(w io.Writer) error {
	lines := s.Lines()
	for _, l := range lines {
		names := make([]string, 0, len(l.Fields))
		for name := range l.Fields {
			names = append(names, name)
		}
		slices.Sort(names)
		var b strings.Builder
		for _, name := range names {
			fmt.Fprintf(&b, "  %s=%s", name, l.Fields[name])
		}
		_, err := fmt.Fprintf(w, "%+9.3fs  %s  %s%s\n", l.At.Sub(lines[0].At).Seconds(), l.Process, l.Message, b.String())
		if err != nil {
			return err
		}
	}
	return nil
}
