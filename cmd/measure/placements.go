package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/google/subcommands"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/spread"
)

// placementsCommand compares ways to place the layers of a model on the cards of a
// hall, on drawn fleets and without running anything.
type placementsCommand struct {
	fleets int
	seed   uint64
}

func (*placementsCommand) Name() string     { return "placements" }
func (*placementsCommand) Synopsis() string { return "compare placements of layers on drawn halls" }
func (*placementsCommand) Usage() string {
	return "measure placements [-fleets N] [-seed N]\n  Prints, for each way, the room for requests as a share of the bound, whole and after the loss of a card.\n"
}

// SetFlags sets the flags.
func (c *placementsCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.fleets, "fleets", 1000, "number of drawn halls")
	f.Uint64Var(&c.seed, "seed", 1, "seed of the draw")
}

// kinds are the cards of the users' sites.
var kinds = map[string]catalog.Card{
	"a100": {Memory: 72000, Pace: 2.4, Read: 3.2}, "l40s": {Memory: 43200, Pace: 5.6, Read: 2.7},
	"l4": {Memory: 21600, Pace: 16, Read: 8.2},
}

// drawn is the model of the users' sites.
var drawn = &catalog.Model{Layers: 80, LayerSize: 1750, TokenSize: 0.918, Cards: kinds}

// placing is a way to place layers on the cards of a hall.
type placing struct {
	name  string
	place func([]spread.Card) []spread.Card
}

// placings are the ways that are compared.
var placings = []placing{
	{"planner", planned},
	{"further copies from the first layer on", inTurn(func(c spread.Card) float64 { return 0.6 * kinds[c.Kind].Memory / drawn.LayerSize })},
	{"equal shares", inTurn(func(spread.Card) float64 { return 10 })},
	{"layers by speed", inTurn(func(c spread.Card) float64 { return 56 / kinds[c.Kind].Pace })},
	{"whole copies by memory", byMemory},
}

// Execute runs the comparison.
func (c *placementsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("| way | room, share of the bound: median | lowest tenth | after the loss of a card | halls without a chain after it | time of a token, ms |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, way := range placings {
		random := rand.New(rand.NewPCG(c.seed, 0))
		var whole, lost, pace []float64
		broken := 0
		for range c.fleets {
			hall := drawHall(random)
			bound := roomBound(hall)
			cards := way.place(hall)
			whole = append(whole, room(cards)/bound)
			pace = append(pace, tokenTime(cards))
			gone := random.IntN(len(cards))
			left := slices.Delete(slices.Clone(cards), gone, gone+1)
			if way.name == "planner" {
				left = carryOut(left, spread.Planner{}.Plan(drawn, left))
			}
			after := room(left) / bound
			lost = append(lost, after)
			if after == 0 {
				broken++
			}
		}
		fmt.Printf("| %s | %.3f | %.3f | %.3f | %d of %d | %.1f |\n", way.name, quantileOf(whole, 0.5), quantileOf(whole, 0.1),
			quantileOf(lost, 0.5), broken, c.fleets, quantileOf(pace, 0.5))
	}
	return subcommands.ExitSuccess
}

// mostCards are the most cards of a kind in a drawn hall: those of the users' halls,
// and half as many again.
var mostCards = []struct {
	kind string
	most int
}{{"a100", 3}, {"l40s", 9}, {"l4", 14}}

// drawHall draws the cards of a hall that holds the model at least once and a half.
func drawHall(random *rand.Rand) []spread.Card {
	for {
		var cards []spread.Card
		for _, k := range mostCards {
			for range random.IntN(k.most + 1) {
				cards = append(cards, spread.Card{Hall: "h", Kind: k.kind})
			}
		}
		slices.SortStableFunc(cards, func(a, b spread.Card) int { return cmp.Compare(kinds[a.Kind].Pace, kinds[b.Kind].Pace) })
		for i := range cards {
			cards[i].ID = fmt.Sprintf("card-%02d", i)
		}
		if memoryOf(cards) > 1.5*float64(drawn.Layers)*drawn.LayerSize/0.6 {
			return cards
		}
	}
}

func memoryOf(cards []spread.Card) float64 {
	sum := 0.0
	for _, c := range cards {
		sum += kinds[c.Kind].Memory
	}
	return sum
}

// roomBound returns the tokens that fit beside as many copies as 0.6 of the memory
// holds, if every layer had the same room.
func roomBound(cards []spread.Card) float64 {
	return 0.4 * memoryOf(cards) / drawn.TokenSize
}

// room returns the tokens that fit at the layer where fewest do.
func room(cards []spread.Card) float64 {
	at := make([]float64, drawn.Layers)
	for _, c := range cards {
		for l := c.Holds.First; l < c.Holds.End; l++ {
			at[l] += float64(max(drawn.Room(kinds[c.Kind], c.Holds.Len()), 0))
		}
	}
	return slices.Min(at)
}

// tokenTime returns the milliseconds that a token takes along the fastest holders.
func tokenTime(cards []spread.Card) float64 {
	const step = 1.02
	sum := 0.0
	for l := range drawn.Layers {
		least := math.Inf(1)
		for _, c := range cards {
			if c.Holds.First <= l && l < c.Holds.End {
				least = min(least, kinds[c.Kind].Pace)
			}
		}
		sum += least * step / float64(drawn.Layers)
	}
	return sum
}

// planned places by the product's planner.
func planned(cards []spread.Card) []spread.Card {
	return carryOut(cards, spread.Planner{}.Plan(drawn, cards))
}

// carryOut returns the cards after moves.
func carryOut(cards []spread.Card, moves []spread.Move) []spread.Card {
	cards = slices.Clone(cards)
	for _, m := range moves {
		for i := range cards {
			if cards[i].ID == m.ID {
				cards[i].Holds = m.Layers
			}
		}
	}
	return cards
}

// inTurn lays ranges of a size end to end, and round again from the first layer.
func inTurn(size func(spread.Card) float64) func([]spread.Card) []spread.Card {
	return func(cards []spread.Card) []spread.Card {
		cards = slices.Clone(cards)
		next := 0
		for i, c := range cards {
			n := min(max(int(math.Round(size(c))), 1), int(0.9*kinds[c.Kind].Memory/drawn.LayerSize))
			end := min(next+n, drawn.Layers)
			cards[i].Holds = layer.Range{First: next, End: end}
			next = end % drawn.Layers
		}
		return cards
	}
}

// byMemory lays out whole copies, each card in proportion to its memory, in groups
// of much the same memory.
func byMemory(cards []spread.Card) []spread.Card {
	cards = slices.Clone(cards)
	groups := max(int(0.76*memoryOf(cards)/(float64(drawn.Layers)*drawn.LayerSize)), 1)
	held := make([]float64, groups)
	members := make([][]int, groups)
	for i, c := range cards {
		least := slices.Index(held, slices.Min(held))
		held[least] += kinds[c.Kind].Memory
		members[least] = append(members[least], i)
	}
	for g, list := range members {
		sum := 0.0
		for _, i := range list {
			first := int(math.Round(sum / held[g] * float64(drawn.Layers)))
			sum += kinds[cards[i].Kind].Memory
			cards[i].Holds = layer.Range{First: first, End: int(math.Round(sum / held[g] * float64(drawn.Layers)))}
		}
	}
	return cards
}

// quantileOf returns a quantile of values.
func quantileOf(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
