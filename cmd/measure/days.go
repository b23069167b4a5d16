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

// daysCommand prints the table of docs/MEASURES.md from the journal of played
// days.
type daysCommand struct{}

func (*daysCommand) Name() string             { return "days" }
func (*daysCommand) Synopsis() string         { return "print the worth of played days from their journal" }
func (*daysCommand) SetFlags(_ *flag.FlagSet) {}

func (*daysCommand) Usage() string {
	return "measure days [FOLDER]\n  Reads the journal (default: journal) and prints a row for each score and hunt.\n"
}

// playing is a journal entry, as far as the table needs it.
type playing struct {
	Command string   `json:"cmd"`
	Site    string   `json:"site"`
	Why     string   `json:"why"`
	Head    string   `json:"head"`
	OK      bool     `json:"ok"`
	Days    []played `json:"days"`
	At      []string `json:"at"`
}

// played is one day.
type played struct {
	Name    string  `json:"name"`
	Served  float64 `json:"served"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// Parts are a name, a weight and a value each; Prices a name, an amount and
	// what it takes off.
	Parts  [][3]any       `json:"parts"`
	Prices [][3]any       `json:"prices"`
	Rules  map[string]any `json:"rules"`
}

// worth returns what the day was worth.
func (p played) worth() float64 {
	sum := 0.0
	for _, part := range p.Parts {
		sum += number(part[1]) * number(part[2])
	}
	for _, price := range p.Prices {
		sum -= number(price[2])
	}
	return sum
}

// number returns a number of a row, 0 for anything else.
func number(v any) float64 {
	n, ok := v.(float64)
	if !ok {
		return 0
	}
	return n
}

// Execute prints the table.
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

// readJournal reads all entries, the oldest first.
func readJournal(folder string) ([]playing, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, err
	}
	var entries []playing
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var e playing
		if err := json.Unmarshal(text, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		entries = append(entries, e)
	}
	slices.SortStableFunc(entries, func(a, b playing) int { return cmp.Compare(a.time(), b.time()) })
	return entries, nil
}

// time returns when the run began.
func (e playing) time() string {
	if len(e.At) == 0 {
		return ""
	}
	return e.At[0]
}

// row returns the entry as a row of the table. The mean of a score leaves out the
// day that was drawn for it, whose luck differs from run to run.
func (e playing) row() string {
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
		sum += d.worth()
		lowest = min(lowest, d.worth())
		served, refused, failed = served+d.Served, refused+d.Refused, failed+d.Failed
		if e.Command == "score" {
			byDay = append(byDay, fmt.Sprintf("%s %.3f", d.Name, d.worth()))
		}
	}
	of := float64(max(n, 1))
	return fmt.Sprintf("| %s | %.7s | %s | %s: %s | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %d | %s |",
		e.time(), e.Head, e.Site, e.Command, e.Why, n, sum/of, lowest, served/of, refused/of, failed/of, broken, strings.Join(byDay, ", "))
}
