package requestlog

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// messageLevel begins the line of a gateway about the requests of a service that the fleet admits.
	messageLevel = "shedding level"
	// reasonLevel is the reason of a refusal by the level.
	reasonLevel = "the fleet has no room for this class"
)

// Refusal explains why a request was refused by the level in force.
type Refusal struct {
	// Class is the class of the request.
	Class Class
	// Share is the share of the requests of its class and team that was admitted, 0 to 1.
	Share float64
	// Level is the level in force, zero if the logs do not have it.
	Level Level
}

// Class is a class of requests that are admitted alike.
type Class struct {
	// Priority is from 0, the most urgent, to 9.
	Priority int
	// Returning is set for callers that retry after a refusal.
	Returning bool
}

// String returns the class as text.
func (c Class) String() string {
	if c.Returning {
		return fmt.Sprintf("priority %d, returning", c.Priority)
	}
	return fmt.Sprintf("priority %d, new", c.Priority)
}

// Level is the state of a service as a gateway logged it. Rates are in requests per second.
type Level struct {
	// Before is how long before the refusal it was logged.
	Before            time.Duration
	Capacity, Offered float64
	// Marginal is the most urgent class that was not admitted as a whole, and MarginalShare the share
	// of it that was, 0 to 1.
	Marginal      Class
	MarginalShare float64
	// ReportAge is the age of the newest load report of another gateway, 0 without one.
	ReportAge time.Duration
	// Isolated is set if the gateway heard no other one.
	Isolated bool
}

// String returns the refusal as text.
func (r Refusal) String() string {
	text := fmt.Sprintf("the fleet admitted %.3g of such requests (%v)", r.Share, r.Class)
	if r.Level == (Level{}) {
		return text + "; the logs do not have the level in force"
	}
	l := r.Level
	text += fmt.Sprintf("; level in force, logged %v before: capacity %.4g/s, offered %.4g/s, marginal class %v, of which %.3g admitted",
		l.Before, l.Capacity, l.Offered, l.Marginal, l.MarginalShare)
	switch {
	case l.Isolated:
		text += ", by this gateway's demand alone"
	case l.ReportAge > 0:
		text += fmt.Sprintf(", reports %v old", l.ReportAge)
	}
	return text
}

// refusedByLevel reports whether the line ends a request that the level refused, and says so with
// the share in force. Gateways of former builds do not.
func (l *Line) refusedByLevel() bool {
	_, known := l.Fields["admit_share"]
	return known && l.Message == messageEnded && strings.Contains(l.text("reason"), reasonLevel)
}

// levelAt returns the latest line about the level of the gateway and service of a refusal before it.
func (s *Log) levelAt(refusal Line) (Line, bool) {
	service := refusal.text("service")
	var latest Line
	found := false
	for _, l := range s.levelLines {
		if l.Process != refusal.Process || l.text("service") != service || l.At.After(refusal.At) {
			continue
		}
		if !found || !l.At.Before(latest.At) {
			latest, found = l, true
		}
	}
	return latest, found
}

// refusalIn returns why the level refused a request, by its last line.
func (s *Log) refusalIn(l Line) *Refusal {
	if !l.refusedByLevel() {
		return nil
	}
	r := &Refusal{
		Class: Class{Priority: l.number("priority"), Returning: l.isTrue("returned")}, Share: l.float("admit_share"),
	}
	if level, found := s.levelAt(l); found && !level.isTrue("open") {
		r.Level = Level{
			Before: l.At.Sub(level.At).Round(time.Millisecond), Capacity: level.float("capacity_per_s"), Offered: level.float("offered_per_s"),
			Marginal:      Class{Priority: level.number("marginal_priority"), Returning: level.isTrue("marginal_returning")},
			MarginalShare: level.float("marginal_share"), ReportAge: level.millis("report_age_ms"), Isolated: level.isTrue("alone"),
		}
	}
	return r
}

// withLevels returns the lines, and with each refusal by the level the line about the level in force.
func (s *Log) withLevels(lines []Line) []Line {
	var levels []Line
	for _, l := range lines {
		if !l.refusedByLevel() {
			continue
		}
		level, found := s.levelAt(l)
		same := func(other Line) bool {
			return other.At.Equal(level.At) && other.Process == level.Process && other.text("service") == level.text("service")
		}
		if found && !slices.ContainsFunc(levels, same) {
			levels = append(levels, level)
		}
	}
	return append(lines, levels...)
}

// isTrue reports whether a field is true.
func (l *Line) isTrue(name string) bool {
	return string(l.Fields[name]) == "true"
}

// float returns a field as a number, 0 if it is missing.
func (l *Line) float(name string) float64 {
	var x float64
	_ = json.Unmarshal(l.Fields[name], &x) // a field of another type is no number
	return x
}
