package main

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/subcommands"
)

// accountCommand prints where test days lost score, which the table calls worth.
type accountCommand struct{}

func (*accountCommand) Name() string { return "account" }
func (*accountCommand) Synopsis() string {
	return "print where test days lost score, from their reports"
}
func (*accountCommand) SetFlags(_ *flag.FlagSet) {}

func (*accountCommand) Usage() string {
	return "measure account REPORT...\n" +
		"  Prints a row for each report of a test day, and the mean of all.\n"
}

// unreachableCauses holds the causes, as named in reports, of unserved requests that no gateway could
// have served: their callers found no gateway up while all had lost power.
var unreachableCauses = map[string]bool{"no connection": true}

// dayReport is the part of the report of a test day that the account needs.
type dayReport struct {
	// Parts holds a name, a weight and a value each; Prices a name, an amount and the score
	// that it costs.
	Parts  [][3]any `json:"parts"`
	Prices [][3]any `json:"prices"`
	All    struct {
		N       int `json:"n"`
		NotOwed int `json:"not_owed"`
		Late    int `json:"late"`
	} `json:"all"`
	// Unserved groups the requests that were never served by the outcome of their last
	// attempt: its name, the number of requests, and examples.
	Unserved [][3]any `json:"unserved_by"`
}

// account lists the score that a test day lost, by cause.
type account struct {
	day   string
	score float64
	// lost holds the score lost by each part of the goal, by name, and prices the
	// score lost by all prices together.
	lost   map[string]float64
	prices float64
	// late, unserved and unreachable are shares of the owed requests: answered late,
	// never served, and never served where no gateway could have.
	late, unserved, unreachable float64
	// unreachableScore is the score that the part for the share served would gain if the
	// unreachable requests had been served.
	unreachableScore float64
}

// readAccount reads a report and returns its account.
func readAccount(path string) (account, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return account{}, err
	}
	var r dayReport
	if err := json.Unmarshal(text, &r); err != nil {
		return account{}, fmt.Errorf("%s: %w", path, err)
	}
	return r.account(strings.TrimSuffix(filepath.Base(path), ".json")), nil
}

// account computes the account of a report.
func (r dayReport) account(day string) account {
	a := account{day: day, lost: make(map[string]float64)}
	owed := float64(max(r.All.N-r.All.NotOwed, 1))
	a.late = float64(r.All.Late) / owed
	for _, u := range r.Unserved {
		name, _ := u[0].(string)
		a.unserved += number(u[1]) / owed
		if unreachableCauses[name] {
			a.unreachable += number(u[1]) / owed
		}
	}
	for _, part := range r.Parts {
		name, _ := part[0].(string)
		weight, value := number(part[1]), number(part[2])
		a.score += weight * value
		a.lost[name] = weight * (1 - value)
		if name == "nines" && a.unserved > a.unreachable {
			a.unreachableScore = weight * min(nines(a.unserved-a.unreachable)-nines(a.unserved), 1-value)
		}
	}
	for _, price := range r.Prices {
		a.prices += number(price[2])
	}
	a.score -= a.prices
	return a
}

// bestUnserved is the unserved share at or below which the share served scores 1.
const bestUnserved = 0.001

// nines returns the score of the share served, on a logarithmic scale, from the
// unserved share.
func nines(unserved float64) float64 {
	return min(math.Log(max(unserved, bestUnserved))/math.Log(bestUnserved), 1)
}

// Execute prints the accounts of the reports as a table.
func (c *accountCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var list []account
	for _, path := range f.Args() {
		a, err := readAccount(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b account) int { return cmp.Compare(a.day, b.day) })
	fmt.Println("| day | worth | lost: whole day | worst windows | worst class | share served | prices | late | unserved | of these nobody could | worth out of reach |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, a := range list {
		fmt.Println(a.row())
	}
	if len(list) > 0 {
		fmt.Println(mean(list).row())
	}
	return subcommands.ExitSuccess
}

// row returns the account as a row of the table.
func (a account) row() string {
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |", a.day, a.score,
		a.lost["whole day"], a.lost["worst windows"], a.lost["worst class"], a.lost["nines"], a.prices,
		a.late, a.unserved, a.unreachable, a.unreachableScore)
}

// mean returns the mean of the accounts.
func mean(list []account) account {
	m := account{day: "mean", lost: make(map[string]float64)}
	n := float64(len(list))
	for _, a := range list {
		m.score, m.prices = m.score+a.score/n, m.prices+a.prices/n
		m.late, m.unserved = m.late+a.late/n, m.unserved+a.unserved/n
		m.unreachable, m.unreachableScore = m.unreachable+a.unreachable/n, m.unreachableScore+a.unreachableScore/n
		for name, lost := range a.lost {
			m.lost[name] += lost / n
		}
	}
	return m
}
