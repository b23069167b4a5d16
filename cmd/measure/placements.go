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
	"github.com/grademill/grademill/decide/placement"
)

// placementsCommand compares strategies for placing the layers of a model on the
// accelerator cards of a hall, by computation on randomly drawn halls.
type placementsCommand struct {
	fleets int
	seed   uint64
}

func (*placementsCommand) Name() string { return "placements" }
func (*placementsCommand) Synopsis() string {
	return "compare placements of layers on randomly drawn halls"
}

func (*placementsCommand) Usage() string {
	return "measure placements [-fleets N] [-seed N]\n  Prints, for each strategy, the room for requests as a share of the bound, before and after the loss of a card.\n"
}

// SetFlags registers the flags.
func (c *placementsCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.fleets, "fleets", 1000, "number of randomly drawn halls")
	f.Uint64Var(&c.seed, "seed", 1, "random seed")
}

// cardKinds holds the kinds of accelerator cards in the users' deployments, by name.
var cardKinds = map[string]catalog.Card{
	"a100": {Memory: 72000, TokenTimeFactor: 2.4, PromptTimeFactor: 3.2}, "l40s": {Memory: 43200, TokenTimeFactor: 5.6, PromptTimeFactor: 2.7},
	"l4": {Memory: 21600, TokenTimeFactor: 16, PromptTimeFactor: 8.2},
}

// drawnModel is the model of the users' deployments.
var drawnModel = &catalog.Model{Layers: 80, LayerSize: 1750, TokenSize: 0.918, Cards: cardKinds}

// placementStrategy is a strategy for placing layers on the cards of a hall.
type placementStrategy struct {
	name  string
	place func([]placement.Card) []placement.Card
	// planner plans again after the loss of a card; nil leaves the cards as they are.
	planner *placement.Planner
}

// placements lists the strategies that are compared.
var placements = []placementStrategy{
	byPlanner("planner", placement.Planner{}),
	byPlanner("planner, even room", placement.Planner{EvenRoom: true}),
	{name: "further copies from the first layer on", place: consecutive(func(c placement.Card) float64 { return 0.6 * cardKinds[c.Kind].Memory / drawnModel.LayerSize })},
	{name: "equal shares", place: consecutive(func(placement.Card) float64 { return 10 })},
	{name: "layers by speed", place: consecutive(func(c placement.Card) float64 { return 56 / cardKinds[c.Kind].TokenTimeFactor })},
	{name: "whole copies by memory", place: byMemory},
}

// Execute prints the comparison as a table.
func (c *placementsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("| way | room, share of the bound: median | lowest tenth | after the loss of a card | halls without a chain after it | time of a token, ms |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, way := range placements {
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
			if way.planner != nil {
				left = applyMoves(left, way.planner.Plan(drawnModel, left))
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

// maxCards lists the largest numbers of cards of each kind in a drawn hall: 1.5
// times those in the users' halls.
var maxCards = []struct {
	kind string
	most int
}{{"a100", 3}, {"l40s", 9}, {"l4", 14}}

// drawHall draws the cards of a hall at random. 0.6 of their memory holds more than
// 1.5 copies of the model.
func drawHall(random *rand.Rand) []placement.Card {
	for {
		var cards []placement.Card
		for _, k := range maxCards {
			for range random.IntN(k.most + 1) {
				cards = append(cards, placement.Card{Hall: "h", Kind: k.kind})
			}
		}
		slices.SortStableFunc(cards, func(a, b placement.Card) int {
			return cmp.Compare(cardKinds[a.Kind].TokenTimeFactor, cardKinds[b.Kind].TokenTimeFactor)
		})
		for i := range cards {
			cards[i].ID = fmt.Sprintf("card-%02d", i)
		}
		if memoryOf(cards) > 1.5*float64(drawnModel.Layers)*drawnModel.LayerSize/0.6 {
			return cards
		}
	}
}

func memoryOf(cards []placement.Card) float64 {
	sum := 0.0
	for _, c := range cards {
		sum += cardKinds[c.Kind].Memory
	}
	return sum
}

// roomBound returns an upper bound on the number of tokens whose state a hall can
// cache: the number that fits in 0.4 of the memory, the part that copies of the model
// leave free, if every layer has the same room.
func roomBound(cards []placement.Card) float64 {
	return 0.4 * memoryOf(cards) / drawnModel.TokenSize
}

// room returns the number of tokens that fit at the layer with the least room.
func room(cards []placement.Card) float64 {
	at := make([]float64, drawnModel.Layers)
	for _, c := range cards {
		for l := c.AssignedLayers.First; l < c.AssignedLayers.End; l++ {
			at[l] += float64(max(drawnModel.Room(cardKinds[c.Kind], c.AssignedLayers.Len()), 0))
		}
	}
	return slices.Min(at)
}

// tokenTime returns the time in milliseconds of a token, if the fastest card that
// holds a layer runs it.
func tokenTime(cards []placement.Card) float64 {
	const step = 1.02
	sum := 0.0
	for l := range drawnModel.Layers {
		least := math.Inf(1)
		for _, c := range cards {
			if c.AssignedLayers.First <= l && l < c.AssignedLayers.End {
				least = min(least, cardKinds[c.Kind].TokenTimeFactor)
			}
		}
		sum += least * step / float64(drawnModel.Layers)
	}
	return sum
}

// byPlanner returns the strategy of the router's own planner.
func byPlanner(name string, p placement.Planner) placementStrategy {
	return placementStrategy{name: name, planner: &p, place: func(cards []placement.Card) []placement.Card {
		return applyMoves(cards, p.Plan(drawnModel, cards))
	}}
}

// applyMoves returns the cards after the moves.
func applyMoves(cards []placement.Card, moves []placement.Move) []placement.Card {
	cards = slices.Clone(cards)
	for _, m := range moves {
		for i := range cards {
			if cards[i].ID == m.ID {
				cards[i].AssignedLayers = m.Layers
			}
		}
	}
	return cards
}

// consecutive returns a strategy that assigns consecutive ranges, of a size that depends
// on the card, and starts over at the first layer after the last.
func consecutive(size func(placement.Card) float64) func([]placement.Card) []placement.Card {
	return func(cards []placement.Card) []placement.Card {
		cards = slices.Clone(cards)
		next := 0
		for i, c := range cards {
			n := min(max(int(math.Round(size(c))), 1), int(0.9*cardKinds[c.Kind].Memory/drawnModel.LayerSize))
			end := min(next+n, drawnModel.Layers)
			cards[i].AssignedLayers = layer.Range{First: next, End: end}
			next = end % drawnModel.Layers
		}
		return cards
	}
}

// byMemory splits the cards into groups of about equal memory, each of which holds
// one copy of the model, and gives each card layers in proportion to its memory.
func byMemory(cards []placement.Card) []placement.Card {
	cards = slices.Clone(cards)
	groups := max(int(0.76*memoryOf(cards)/(float64(drawnModel.Layers)*drawnModel.LayerSize)), 1)
	held := make([]float64, groups)
	members := make([][]int, groups)
	for i, c := range cards {
		least := slices.Index(held, slices.Min(held))
		held[least] += cardKinds[c.Kind].Memory
		members[least] = append(members[least], i)
	}
	for g, list := range members {
		sum := 0.0
		for _, i := range list {
			first := int(math.Round(sum / held[g] * float64(drawnModel.Layers)))
			sum += cardKinds[cards[i].Kind].Memory
			cards[i].AssignedLayers = layer.Range{First: first, End: int(math.Round(sum / held[g] * float64(drawnModel.Layers)))}
		}
	}
	return cards
}

// quantileOf returns the q-quantile of values, which need not be sorted.
func quantileOf(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
