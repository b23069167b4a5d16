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

// accountCommand prints where played days lost their worth.
type accountCommand struct{}

func (*accountCommand) Name() string { return "account" }
func (*accountCommand) Synopsis() string {
	return "print where played days lost their worth, from their reports"
}
func (*accountCommand) SetFlags(_ *flag.FlagSet) {}

func (*accountCommand) Usage() string {
	return "measure account REPORT...\n" +
		"  Prints a row for each report of a played day, and what the days lost on average.\n"
}

// outOfReach are the ends of requests that no gateway could have served, as reports name
// them: their callers found no gateway up, at a loss of power of all of them.
var outOfReach = map[string]bool{"no connection": true}

// dayReport is the report of a played day, as far as the account needs it.
type dayReport struct {
	// Parts are a name, a weight and a value each; Prices a name, an amount and what it
	// takes off.
	Parts  [][3]any `json:"parts"`
	Prices [][3]any `json:"prices"`
	All    struct {
		N       int `json:"n"`
		NotOwed int `json:"not_owed"`
		Late    int `json:"late"`
	} `json:"all"`
	// Unserved are the last tries of requests that were never served: how they ended,
	// how many, and an example.
	Unserved [][3]any `json:"unserved_by"`
}

// account is what a day lost, in worth.
type account struct {
	day   string
	worth float64
	// lost are the parts of the goal that were not reached, by name, and the prices
	// together.
	lost   map[string]float64
	prices float64
	// late, unserved and unreachable are shares of the requests that are owed.
	late, unserved, unreachable float64
	// reach is the worth that the share served would lose less, were those served that
	// nobody could serve.
	reach float64
}

// readAccount reads the account of one report.
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

// account works the account out.
func (r dayReport) account(day string) account {
	a := account{day: day, lost: make(map[string]float64)}
	owed := float64(max(r.All.N-r.All.NotOwed, 1))
	a.late = float64(r.All.Late) / owed
	for _, u := range r.Unserved {
		name, _ := u[0].(string)
		a.unserved += number(u[1]) / owed
		if outOfReach[name] {
			a.unreachable += number(u[1]) / owed
		}
	}
	for _, part := range r.Parts {
		name, _ := part[0].(string)
		weight, value := number(part[1]), number(part[2])
		a.worth += weight * value
		a.lost[name] = weight * (1 - value)
		if name == "nines" && a.unserved > a.unreachable {
			a.reach = weight * min(nines(a.unserved-a.unreachable)-nines(a.unserved), 1-value)
		}
	}
	for _, price := range r.Prices {
		a.prices += number(price[2])
	}
	a.worth -= a.prices
	return a
}

// bestUnserved is the unserved share from which on the share served counts whole.
const bestUnserved = 0.001

// nines returns the share served as it is counted, from the share unserved.
func nines(unserved float64) float64 {
	return min(math.Log(max(unserved, bestUnserved))/math.Log(bestUnserved), 1)
}

// Execute prints the table.
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
	return fmt.Sprintf("| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |", a.day, a.worth,
		a.lost["whole day"], a.lost["worst windows"], a.lost["worst class"], a.lost["nines"], a.prices,
		a.late, a.unserved, a.unreachable, a.reach)
}

// mean returns the mean of accounts.
func mean(list []account) account {
	m := account{day: "mean", lost: make(map[string]float64)}
	n := float64(len(list))
	for _, a := range list {
		m.worth, m.prices = m.worth+a.worth/n, m.prices+a.prices/n
		m.late, m.unserved = m.late+a.late/n, m.unserved+a.unserved/n
		m.unreachable, m.reach = m.unreachable+a.unreachable/n, m.reach+a.reach/n
		for name, lost := range a.lost {
			m.lost[name] += lost / n
		}
	}
	return m
}
