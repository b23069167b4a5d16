package main

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/subcommands"
)

// daysCommand prints the table of docs/MEASURES.md from the journal of test days.
// The table calls the score of a day its worth.
type daysCommand struct{}

func (*daysCommand) Name() string             { return "days" }
func (*daysCommand) Synopsis() string         { return "print the scores of test days from the journal" }
func (*daysCommand) SetFlags(_ *flag.FlagSet) {}

func (*daysCommand) Usage() string {
	return "measure days [FOLDER]\n  Reads the journal (default: journal) and prints a row for each run of score or hunt.\n"
}

// journalEntry is the part of a journal entry that the table needs.
type journalEntry struct {
	Command string    `json:"cmd"`
	Site    string    `json:"site"`
	Why     string    `json:"why"`
	Head    string    `json:"head"`
	OK      bool      `json:"ok"`
	Days    []testDay `json:"days"`
	At      []string  `json:"at"`
}

// testDay is the result of one test day.
type testDay struct {
	Name    string  `json:"name"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Parts holds a name, a weight and a value each; Prices a name, an amount and
	// the score that it costs.
	Parts  [][3]any       `json:"parts"`
	Prices [][3]any       `json:"prices"`
	Rules  map[string]any `json:"rules"`
}

// score returns the score of the day: the weighted parts less the prices.
func (p testDay) score() float64 {
	sum := 0.0
	for _, part := range p.Parts {
		sum += number(part[1]) * number(part[2])
	}
	for _, price := range p.Prices {
		sum -= number(price[2])
	}
	return sum
}

// number returns v if it is a number, and 0 otherwise.
func number(v any) float64 {
	n, ok := v.(float64)
	if !ok {
		return 0
	}
	return n
}

// Execute prints the runs in the journal as a table.
func (c *daysCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	folder := "journal"
	if f.NArg() > 0 {
		folder = f.Arg(0)
	}
	entries, err := readJournal(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println("| when | version | site | run | days | mean worth | lowest | served | refused | failed | broken | by day |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, e := range entries {
		if e.OK && (e.Command == "score" || e.Command == "hunt") {
			fmt.Println(e.row())
		}
	}
	return subcommands.ExitSuccess
}

// readJournal reads all journal entries in a folder, the oldest first.
func readJournal(folder string) ([]journalEntry, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	var entries []journalEntry
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var e journalEntry
		if err := json.Unmarshal(text, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		entries = append(entries, e)
	}
	slices.SortStableFunc(entries, func(a, b journalEntry) int { return cmp.Compare(a.time(), b.time()) })
	return entries, nil
}

// time returns when the run began, or "" if the entry does not say.
func (e journalEntry) time() string {
	if len(e.At) == 0 {
		return ""
	}
	return e.At[0]
}

// row returns the entry as a row of the table. The means leave out the randomly
// drawn day of a run of score, whose conditions differ from run to run.
func (e journalEntry) row() string {
	var sum, lowest, served, refused, failed float64
	var byDay []string
	lowest = 1
	n, broken := 0, 0
	for _, d := range e.Days {
		if len(d.Rules) > 0 {
			broken++
		}
		if strings.HasPrefix(d.Name, "fresh-") {
			continue
		}
		n++
		sum += d.score()
		lowest = min(lowest, d.score())
		served, refused, failed = served+d.Served, refused+d.Refused, failed+d.Failed
		if e.Command == "score" {
			byDay = append(byDay, fmt.Sprintf("%s %.3f", d.Name, d.score()))
		}
	}
	of := float64(max(n, 1))
	return fmt.Sprintf("| %s | %.7s | %s | %s: %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %s |",
		e.time(), e.Head, e.Site, e.Command, e.Why, n, sum/of, lowest, served/of, refused/of, failed/of, broken, strings.Join(byDay, ", "))
}
