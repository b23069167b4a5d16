// Package story tells from the log of the gateways what became of a request and
// why.
package story

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

// Line is one line of a log.
type Line struct {
	At      time.Time
	Process string
	Message string
	// Fields are all others, as they stand in the line.
	Fields map[string]json.RawMessage
}

// Story collects the lines that matter to one request. Set the exported fields,
// then Read each log.
type Story struct {
	// Request is its ID.
	Request string
	// Before is how long before the request's first line the beliefs of its
	// gateway matter.
	Before time.Duration

	// told are the lines that name the request, beliefs those that change what a
	// gateway holds true of an endpoint, the configuration or the store.
	told, beliefs []Line
}

// beliefMessages begin the lines that change what a gateway holds true.
var beliefMessages = []string{
	"endpoint ", "first endpoint ", "configuration ", "the store ", "order given", "this gateway ", "nobody gives orders",
	"record not understood", "record of an endpoint", "request is quarantined", "gateway ", "the right to give orders", "settings ",
}

// departureMessages begin the lines that tell whether an endpoint takes new work.
var departureMessages = []string{
	"endpoint gone", "endpoint says that it leaves", "endpoint has left", "record of an endpoint that has left",
}

// departs reports whether the line tells that an endpoint takes no new work.
func (l *Line) departs() bool {
	begins := func(prefix string) bool { return strings.HasPrefix(l.Message, prefix) }
	return slices.ContainsFunc(departureMessages, begins) || l.Message == "endpoint changed" && string(l.Fields["leaving"]) == "true"
}

// Read reads a log. Lines that are not JSON, such as those of a crash, are
// counted and passed over.
func (s *Story) Read(r io.Reader) (skipped int, err error) {
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
		s.take(line)
	}
	return skipped, scanner.Err()
}

// parse reads one line.
func parse(text string) (Line, bool) {
	line := Line{Fields: make(map[string]json.RawMessage)}
	if json.Unmarshal([]byte(text), &line.Fields) != nil {
		return line, false
	}
	line.Message, line.Process = line.take("message"), line.take("process")
	at, err := time.Parse(time.RFC3339Nano, line.take("time"))
	line.At = at
	delete(line.Fields, "level")
	return line, err == nil && line.Message != ""
}

// take removes a field and returns its text.
func (l *Line) take(name string) string {
	var text string
	_ = json.Unmarshal(l.Fields[name], &text) // a field of another type has no text
	delete(l.Fields, name)
	return text
}

// text returns the text of a field, empty for none.
func (l *Line) text(name string) string {
	var text string
	_ = json.Unmarshal(l.Fields[name], &text) // a field of another type has no text
	return text
}

// concerns reports whether the line names a request by its fingerprint.
func (l *Line) concerns(fingerprint string) bool {
	var begun []string
	_ = json.Unmarshal(l.Fields["begun"], &begun) // few lines have it
	return fingerprint != "" && (l.text("print") == fingerprint || slices.Contains(begun, fingerprint))
}

// take sorts a line in.
func (s *Story) take(l Line) {
	if l.text("request") == s.Request {
		s.told = append(s.told, l)
		return
	}
	for _, prefix := range beliefMessages {
		if strings.HasPrefix(l.Message, prefix) {
			s.beliefs = append(s.beliefs, l)
			return
		}
	}
}

// Lines returns the story in the order of time: what its gateways came to believe
// of the endpoints that the request names, what any gateway knew of their leaving, however long before,
// what any found of endpoints that ended under the same request, also when it came before, and what was
// decided about it.
func (s *Story) Lines() []Line {
	if len(s.told) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(s.told, byTime)
	from, to := s.told[0].At.Add(-s.Before), s.told[len(s.told)-1].At
	processes := make(map[string]bool)
	var named strings.Builder
	endpoints := make(map[string]bool)
	fingerprint := ""
	for _, l := range s.told {
		processes[l.Process] = true
		fingerprint = cmp.Or(fingerprint, l.text("print"))
		endpoints[l.text("endpoint")] = true
		for _, value := range l.Fields {
			named.Write(value)
		}
	}
	lines := slices.Clone(s.told)
	for _, l := range s.beliefs {
		if l.concerns(fingerprint) || l.departs() && endpoints[l.text("endpoint")] {
			if !l.At.After(to) {
				lines = append(lines, l)
			}
			continue
		}
		address := l.text("address")
		about := l.text("print") == "" && (address == "" || strings.Contains(named.String(), address))
		if processes[l.Process] && about && l.At.After(from) && !l.At.After(to) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process)) })
	return lines
}

// Write writes the story, a line for each, with times from the first one.
func (s *Story) Write(w io.Writer) error {
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
