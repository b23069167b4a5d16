package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/google/subcommands"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/placement"
)

// boundCommand compares the planner's ways of placing layers in the halls of two deployments,
// and names what binds in each.
type boundCommand struct {
	prompt, answer int
	duration       time.Duration
}

func (*boundCommand) Name() string { return "bound" }
func (*boundCommand) Synopsis() string {
	return "compare placements in the halls of two deployments with upper bounds"
}

func (*boundCommand) Usage() string {
	return "measure bound [-prompt TOKENS] [-answer TOKENS] [-duration TIME]\n  Prints, for each hall and way, the room for requests, its upper bound, and what binds.\n"
}

// SetFlags registers the flags.
func (c *boundCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.prompt, "prompt", 774, "size of a prompt in tokens")
	f.IntVar(&c.answer, "answer", 200, "size of an answer in tokens")
	f.DurationVar(&c.duration, "duration", 3*time.Second, "time that a request holds its memory")
}

// boundModel is the model of the two deployments of docs/design/hard-load.md.
var boundModel = &catalog.Model{
	Layers: 80, LayerSize: 1750, TokenSize: 0.328, Slots: 192, Step: 1020 * time.Microsecond, PerSequence: 7140 * time.Nanosecond, ReadRate: 105_000,
	Cards: map[string]catalog.Card{
		"h100":  {Memory: 72000, TokenTimeFactor: 1.4, PromptTimeFactor: 1},
		"a100":  {Memory: 72000, TokenTimeFactor: 2.4, PromptTimeFactor: 3.2},
		"a100s": {Memory: 36000, TokenTimeFactor: 3.1, PromptTimeFactor: 3.2},
		"l40s":  {Memory: 43200, TokenTimeFactor: 5.6, PromptTimeFactor: 2.7},
		"l4":    {Memory: 21600, TokenTimeFactor: 16, PromptTimeFactor: 8.2},
		"t4":    {Memory: 14400, TokenTimeFactor: 15, PromptTimeFactor: 15},
	},
}

// boundHall is a number of cards of each kind.
type boundHall struct {
	name  string
	kinds []string
	count []int
}

// boundHalls lists the halls of the two deployments.
var boundHalls = []boundHall{
	{"3 a100, 4 l40s, 9 l4", []string{"a100", "l40s", "l4"}, []int{3, 4, 9}},
	{"1 a100, 5 l40s, 13 l4", []string{"a100", "l40s", "l4"}, []int{1, 5, 13}},
	{"1 a100, 9 l40s, 7 l4", []string{"a100", "l40s", "l4"}, []int{1, 9, 7}},
	{"2 a100s, 12 l4, 5 t4", []string{"a100s", "l4", "t4"}, []int{2, 12, 5}},
	{"2 a100s, 6 l4, 11 t4", []string{"a100s", "l4", "t4"}, []int{2, 6, 11}},
	{"1 h100, 1 a100s, 8 l4, 10 t4", []string{"h100", "a100s", "l4", "t4"}, []int{1, 1, 8, 10}},
}

// cards returns the empty cards of a hall, the fastest first.
func (h boundHall) cards() []placement.Card {
	var cards []placement.Card
	for k, kind := range h.kinds {
		for range h.count[k] {
			cards = append(cards, placement.Card{ID: fmt.Sprintf("card-%02d", len(cards)), Hall: "h", Kind: kind})
		}
	}
	return cards
}

// Execute prints the comparison as a table.
func (c *boundCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("| hall | way | tightest layer, tokens | mean layer | tightest of bound | best card lost | critical cards | layers held twice | time per token, ms | stages | binds | plan, ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	model := *boundModel
	model.Prompt, model.Answer = c.prompt, c.answer
	for _, h := range boundHalls {
		for _, way := range []placement.Planner{{}, {EvenRoom: true}} {
			name := "value"
			if way.EvenRoom {
				name = "even room"
			}
			begin := time.Now()
			cards := applyMoves(h.cards(), way.Plan(&model, h.cards()))
			took := time.Since(begin)
			p := placed{&model, cards}
			least, mean := p.room()
			twice := p.heldTwice()
			milliseconds, stages := p.fastestChain()
			fmt.Printf("| %s | %s | %.0f | %.0f | %.2f | %.0f | %d of %d | %d | %.2f | %d | %s | %.0f |\n",
				h.name, name, least, mean, least/p.memoryBound(twice), p.withoutBest(), p.critical(), len(cards), twice, milliseconds, stages, p.binds(c.duration), float64(took.Microseconds())/1000)
		}
	}
	return subcommands.ExitSuccess
}

// placed is a model on the cards of a hall.
type placed struct {
	model *catalog.Model
	cards []placement.Card
}

// rooms returns the room of each layer in tokens, and its number of holders.
func (p placed) rooms() ([]float64, []int) {
	at, copies := make([]float64, p.model.Layers), make([]int, p.model.Layers)
	for _, c := range p.cards {
		for l := c.AssignedLayers.First; l < c.AssignedLayers.End; l++ {
			at[l] += float64(max(p.model.Room(p.model.Cards[c.Kind], c.AssignedLayers.Len()), 0))
			copies[l]++
		}
	}
	return at, copies
}

// room returns the room of the tightest layer and the mean over the layers.
func (p placed) room() (least, mean float64) {
	at, _ := p.rooms()
	for _, tokens := range at {
		mean += tokens / float64(len(at))
	}
	return slices.Min(at), mean
}

// heldTwice returns the number of layers with several holders.
func (p placed) heldTwice() int {
	_, copies := p.rooms()
	twice := 0
	for _, n := range copies {
		if n > 1 {
			twice++
		}
	}
	return twice
}

// without returns p without one card.
func (p placed) without(i int) placed {
	p.cards = slices.Delete(slices.Clone(p.cards), i, i+1)
	return p
}

// withoutBest returns the least room of the tightest layer without one of the fastest cards.
func (p placed) withoutBest() float64 {
	least := math.Inf(1)
	for i, c := range p.cards {
		if c.Kind == p.cards[0].Kind {
			room, _ := p.without(i).room()
			least = min(least, room)
		}
	}
	return least
}

// critical returns the number of cards whose loss leaves no chain.
func (p placed) critical() int {
	n := 0
	for i := range p.cards {
		if _, copies := p.without(i).rooms(); slices.Contains(copies, 0) {
			n++
		}
	}
	return n
}

// hop is the time in seconds to pass a token on within a hall.
const hop = 0.0003

// fastestChain returns the time per token in milliseconds on the fastest chain without load, and
// its number of stages.
func (p placed) fastestChain() (milliseconds float64, stages int) {
	f := chain.Finder{Layers: p.model.Layers, HopCost: hop}
	var holders []chain.Holder
	cost := make(map[string]float64)
	for _, c := range p.cards {
		cost[c.ID] = p.model.Cards[c.Kind].TokenTimeFactor * p.model.Step.Seconds() / float64(p.model.Layers)
		holders = append(holders, chain.Holder{ID: c.ID, Address: c.ID, Layers: c.AssignedLayers, CostPerLayer: cost[c.ID]})
	}
	found, _ := f.Find(holders)
	seconds := float64(len(found)) * hop
	for _, stage := range found {
		seconds += float64(stage.Layers.Len()) * cost[stage.ID]
	}
	return 1000 * seconds, len(found)
}

// memoryBound returns an upper bound on the room of the tightest layer, if all layers have a
// holder and some have two: the memory beside these layers, spread evenly over all layers.
func (p placed) memoryBound(twice int) float64 {
	memory := 0.0
	for _, c := range p.cards {
		memory += p.model.Cards[c.Kind].Memory
	}
	return (memory - float64(p.model.Layers+twice)*p.model.LayerSize) / p.model.TokenSize
}

// rates returns upper bounds on the requests per second, by the memory of the tightest layer, the
// slots of the first layer's holders, and the pace of the layer whose holders are slowest together
// in reading prompts and generating answers with full batches.
func (p placed) rates(duration time.Duration) map[string]float64 {
	least, _ := p.room()
	copies, pace := 0, make([]float64, p.model.Layers)
	for _, c := range p.cards {
		kind := p.model.Cards[c.Kind]
		whole := float64(p.model.Prompt)*kind.PromptTimeFactor/p.model.ReadRate + float64(p.model.Answer)*kind.TokenTimeFactor*p.model.PerSequence.Seconds()
		for l := c.AssignedLayers.First; l < c.AssignedLayers.End; l++ {
			pace[l] += float64(p.model.Layers) / float64(c.AssignedLayers.Len()) / whole
		}
		if c.AssignedLayers.First == 0 {
			copies++
		}
	}
	return map[string]float64{
		"memory": least / float64(p.model.Prompt+p.model.Answer) / duration.Seconds(),
		"slots":  float64(copies*p.model.Slots) / duration.Seconds(),
		"pace":   slices.Min(pace),
	}
}

// binds names what bounds the requests per second, with all bounds.
func (p placed) binds(duration time.Duration) string {
	rates := p.rates(duration)
	least := slices.MinFunc(slices.Sorted(maps.Keys(rates)), func(a, b string) int { return cmp.Compare(rates[a], rates[b]) })
	return fmt.Sprintf("%s (memory %.0f/s, slots %.0f/s, pace %.0f/s)", least, rates["memory"], rates["slots"], rates["pace"])
}
