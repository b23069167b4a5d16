package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/layer"
)

const (
	// maxTimeIncrease bounds the time per token of an arrangement with even room, as a multiple
	// of that of the plan it starts from.
	maxTimeIncrease = 1.1
	// stageTime is the time in seconds to pass a token on to another card of the hall. Without it,
	// short ranges on fast cards would seem to cost no time, although each stage of a chain takes
	// as long as a fast card takes for ten layers.
	stageTime = 0.0003
	// evenRoomFill is the fraction of a card's memory that layers may take with EvenRoom. With
	// DefaultFill, every card must be full to hold as many layers twice as in the default way, so
	// ranges cannot be shortened anywhere; small cards that hold one layer more allow it. In the
	// three halls of small cards of measure bound the least room was 0.71, 0.60 and 0.47 of its
	// bound at 0.66, and 0.85, 0.79 and 0.78 at 0.73.
	evenRoomFill = 0.73
	// searchSteps is the number of arrangements that a search tries for each movable card, and
	// searchWork bounds the number of layers that it counts for them, so that a hall of several
	// hundred cards takes about as long as one of two dozen (0.2 s).
	searchSteps = 5_000
	searchWork  = 30_000_000
	// startTemperature and endTemperature are relative differences in room. A search accepts
	// losses of about the temperature, which falls geometrically.
	startTemperature, endTemperature = 0.1, 0.001
	// searchSeed is fixed, so that a plan is a function of its arguments.
	searchSeed = 1
)

// arrangement is a group of cards with a range for each, of which some may be changed.
type arrangement struct {
	model  *catalog.Model
	cards  []Card // the fastest first
	ranges []layer.Range
	// movable lists the cards that may get another range of at most maxLen layers.
	movable []int
	maxLen  []int
	// tokens[i][n] is the number of tokens for which card i has room beside n layers.
	tokens [][]float64

	// factors are the TokenTimeFactors of the cards.
	factors []float64

	// The following are derived from the ranges.
	copies   []int
	room     []float64
	slowness []float64 // TokenTimeFactor of the fastest holder, 0 without holders
	// fastest is the holder of each layer that is as fast as any and goes on furthest.
	fastest []int
	// before and after hold the least room of the layers before each layer, and from it on.
	before, after []float64
}

// figures describe an arrangement.
type figures struct {
	// room is that of the layer with the least room, in tokens, and admitted the number of tokens
	// that the request slots of the first layer's holders admit, infinite where these are unknown.
	room, admitted float64
	// withoutBest is the least such room without one of the cards of the fastest kind, and
	// withoutOne the sum of these rooms over all cards.
	withoutBest, withoutOne float64
	// uncovered is the number of layers without a holder, twice that of layers with several.
	uncovered, twice int
	// critical is the number of cards that are the only holder of a layer, and exposed the
	// largest number of layers that one card alone holds.
	critical, exposed int
	// time is the time per token in seconds when the fastest holders run all layers. It is at
	// least that of the fastest chain, which takes longer to find.
	time float64
}

// keeps reports whether f has all that base has, so that an arrangement with these figures may
// replace one with those of base.
func (f figures) keeps(base figures) bool {
	return f.room >= base.room && f.admitted >= base.admitted &&
		f.uncovered <= base.uncovered && f.twice >= base.twice &&
		f.critical <= base.critical && f.exposed <= base.exposed &&
		f.withoutBest >= base.withoutBest && f.withoutOne >= base.withoutOne &&
		f.time <= maxTimeIncrease*base.time
}

// better reports whether f is preferred to other: more requests fit, or as many and the layer
// with the least room has more of it.
func (f figures) better(other figures) bool {
	return cmp.Or(cmp.Compare(min(f.room, f.admitted), min(other.room, other.admitted)), cmp.Compare(f.room, other.room)) > 0
}

// evenRoom returns the ranges for the movable cards with which the layer with the least room has
// more of it than now, by simulated annealing from the ranges in cov. All that figures.keeps
// lists stays.
func (cov *coverage) evenRoom(movable []int) map[int]layer.Range {
	a := newArrangement(cov, movable)
	a.recompute()
	base := a.figures()
	maxChainTime := maxTimeIncrease * a.chainTime()
	best, bestRanges := base, slices.Clone(a.ranges)
	random := rand.New(rand.NewPCG(searchSeed, 0))
	steps := a.steps()
	cooling := math.Pow(endTemperature/startTemperature, 1/float64(steps))
	temperature, tightness := startTemperature, a.tightness()
	before := slices.Clone(a.ranges)
	for range steps {
		temperature *= cooling
		copy(before, a.ranges)
		if !a.change(random) {
			copy(a.ranges, before)
			continue
		}
		a.recompute()
		next := a.tightness()
		if next > tightness && random.Float64() >= math.Exp((tightness-next)/temperature) {
			copy(a.ranges, before)
			continue
		}
		f := a.figures()
		if !f.keeps(base) {
			copy(a.ranges, before)
			continue
		}
		tightness = next
		if f.better(best) && a.chainTime() <= maxChainTime {
			best = f
			copy(bestRanges, a.ranges)
		}
	}
	result := make(map[int]layer.Range, len(movable))
	for _, i := range movable {
		result[i] = bestRanges[i]
	}
	return result
}

// newArrangement returns the arrangement of the cards of cov.
func newArrangement(cov *coverage, movable []int) *arrangement {
	n := cov.model.Layers
	a := &arrangement{
		model: cov.model, cards: cov.cards, movable: movable,
		copies: make([]int, n), room: make([]float64, n), slowness: make([]float64, n),
		fastest: make([]int, n), before: make([]float64, n+1), after: make([]float64, n+1),
	}
	for _, c := range cov.cards {
		a.ranges = append(a.ranges, c.AssignedLayers)
		a.maxLen = append(a.maxLen, max(cov.mostLayers(c), c.AssignedLayers.Len()))
		a.factors = append(a.factors, cov.model.Cards[c.Kind].TokenTimeFactor)
		tokens := make([]float64, n+1)
		for k := range tokens {
			tokens[k] = float64(max(cov.model.Room(cov.model.Cards[c.Kind], k), 0))
		}
		a.tokens = append(a.tokens, tokens)
	}
	return a
}

// steps returns the number of arrangements to try.
func (a *arrangement) steps() int {
	work := a.model.Layers
	for _, r := range a.ranges {
		work += r.Len()
	}
	return min(searchSteps*len(a.movable), searchWork/work)
}

// recompute derives the figures of the layers from the ranges.
func (a *arrangement) recompute() {
	clear(a.copies)
	clear(a.room)
	clear(a.slowness)
	for i, r := range a.ranges {
		tokens, slowness := a.tokens[i][r.Len()], a.factors[i]
		for l := r.First; l < r.End; l++ {
			a.copies[l]++
			a.room[l] += tokens
			if a.copies[l] == 1 { // the cards are sorted by their speed
				a.slowness[l], a.fastest[l] = slowness, i
			} else if slowness <= a.slowness[l] && r.End > a.ranges[a.fastest[l]].End {
				a.fastest[l] = i
			}
		}
	}
}

// tightness is a smooth measure of how little room the layers with the least room have: about the
// logarithm of the reciprocal of the least room. Unlike the least room itself, it also falls
// when one of several such layers gets more.
func (a *arrangement) tightness() float64 {
	const unit = 1e6 // tokens; keeps the powers within the range of a float64
	sum := power16(unit / a.admitted())
	for _, room := range a.room {
		sum += power16(unit / max(room, 1))
	}
	return math.Log(sum/float64(len(a.room))) / 16
}

// power16 returns x to the power of 16.
func power16(x float64) float64 {
	x *= x
	x *= x
	x *= x
	return x * x
}

// admitted returns the number of tokens that the request slots of the first layer's holders
// admit, infinite where the slots or the size of requests are unknown.
func (a *arrangement) admitted() float64 {
	tokens := a.model.Slots * (a.model.Prompt + a.model.Answer)
	if tokens <= 0 {
		return math.Inf(1)
	}
	return float64(max(a.copies[0]*tokens, 1))
}

// layerTime returns the time in seconds of a token on one layer of a card with the given
// TokenTimeFactor, or that factor where the time of a step is unknown.
func (a *arrangement) layerTime(factor float64) float64 {
	if a.model.Step <= 0 {
		return factor
	}
	return factor * a.model.Step.Seconds() / float64(a.model.Layers)
}

// hopTime returns the time of passing a token on, in the unit of layerTime.
func (a *arrangement) hopTime() float64 {
	if a.model.Step <= 0 {
		return 0
	}
	return stageTime
}

// time returns figures.time.
func (a *arrangement) time() float64 {
	sum, stages, at := 0.0, 0, -1
	for l, slowness := range a.slowness {
		sum += slowness
		if at < 0 || a.ranges[at].End <= l || a.factors[at] > slowness {
			at = a.fastest[l]
			stages++
		}
	}
	return a.layerTime(sum) + float64(stages)*a.hopTime()
}

// chainTime returns the time per token of the fastest chain, infinite if there is none.
func (a *arrangement) chainTime() float64 {
	f := chain.Finder{Layers: a.model.Layers, HopCost: a.hopTime(), EntryCost: a.hopTime()}
	holders := make([]chain.Holder, len(a.cards))
	for i, c := range a.cards {
		holders[i] = chain.Holder{
			ID: strconv.Itoa(i), Address: c.ID, Layers: a.ranges[i],
			CostPerLayer: a.layerTime(a.factors[i]),
		}
	}
	found, ok := f.Find(holders)
	if !ok {
		return math.Inf(1)
	}
	seconds := float64(len(found)) * a.hopTime()
	for _, stage := range found {
		i, _ := strconv.Atoi(stage.ID)
		seconds += float64(stage.Layers.Len()) * holders[i].CostPerLayer
	}
	return seconds
}

// figures returns the figures of the present ranges.
func (a *arrangement) figures() figures {
	f := figures{room: slices.Min(a.room), admitted: a.admitted(), withoutBest: math.Inf(1), time: a.time()}
	for _, n := range a.copies {
		if n == 0 {
			f.uncovered++
		} else if n > 1 {
			f.twice++
		}
	}
	n := len(a.room)
	before, after := a.before, a.after
	before[0], after[n] = math.Inf(1), math.Inf(1)
	for l := range n {
		before[l+1] = min(before[l], a.room[l])
		after[n-1-l] = min(after[n-l], a.room[n-1-l])
	}
	fastest := a.factors[0]
	for i, r := range a.ranges {
		left, alone := min(before[r.First], after[r.End]), 0
		tokens := a.tokens[i][r.Len()]
		for l := r.First; l < r.End; l++ {
			if a.copies[l] == 1 {
				alone++
				left = 0
			}
			left = min(left, a.room[l]-tokens)
		}
		if alone > 0 {
			f.critical++
		}
		f.exposed = max(f.exposed, alone)
		f.withoutOne += left
		if a.factors[i] <= fastest {
			f.withoutBest = min(f.withoutBest, left)
		}
	}
	return f
}

// change makes a random change to the ranges of one or two movable cards. It returns false when
// the result is not valid.
func (a *arrangement) change(random *rand.Rand) bool {
	const maxShift = 3
	i := a.movable[random.IntN(len(a.movable))]
	shift := 1 + random.IntN(maxShift)
	if random.IntN(2) == 0 {
		shift = -shift
	}
	r := a.ranges[i]
	switch random.IntN(7) {
	case 0:
		return a.set(i, layer.Range{First: r.First + shift, End: r.End + shift})
	case 1:
		return a.set(i, layer.Range{First: r.First + shift, End: r.End})
	case 2:
		return a.set(i, layer.Range{First: r.First, End: r.End + shift})
	case 3: // moves the boundary between two cards
		j := a.movable[random.IntN(len(a.movable))]
		if a.ranges[j].First != r.End {
			return false
		}
		return a.set(i, layer.Range{First: r.First, End: r.End + shift}) &&
			a.set(j, layer.Range{First: r.End + shift, End: a.ranges[j].End})
	case 4: // moves layers from one card to another
		j := a.movable[random.IntN(len(a.movable))]
		if i == j {
			return false
		}
		size := max(shift, -shift)
		return a.set(i, resized(r, -size, random.IntN(2) == 0)) && a.set(j, resized(a.ranges[j], size, random.IntN(2) == 0))
	case 5: // swaps two cards, with their lengths
		j := a.movable[random.IntN(len(a.movable))]
		first, second := i, j
		if a.ranges[first].First > a.ranges[second].First {
			first, second = second, first
		}
		f, s := a.ranges[first], a.ranges[second]
		return first != second &&
			a.set(second, layer.Range{First: f.First, End: f.First + s.Len()}) &&
			a.set(first, layer.Range{First: s.End - f.Len(), End: s.End})
	default:
		first := random.IntN(a.model.Layers)
		return a.set(i, layer.Range{First: first, End: first + 1 + random.IntN(max(a.maxLen[i], 1))})
	}
}

// resized returns a range with more layers at one of its ends, or fewer if the number is negative.
func resized(r layer.Range, layers int, atEnd bool) layer.Range {
	if atEnd {
		return layer.Range{First: r.First, End: r.End + layers}
	}
	return layer.Range{First: r.First - layers, End: r.End}
}

// set gives a card a range, and returns false when it cannot hold it.
func (a *arrangement) set(i int, r layer.Range) bool {
	if r.First < 0 || r.End > a.model.Layers || r.Empty() || r.Len() > a.maxLen[i] {
		return false
	}
	a.ranges[i] = r
	return true
}

// mostLayers returns the largest number of layers that a card may get while all layers are
// covered.
func (cov *coverage) mostLayers(c Card) int {
	p := cov.planner
	if cov.evensRoom() {
		p.Fill = max(p.Fill, evenRoomFill)
	}
	return p.targetLayers(cov.model, c)
}

// minEvenCopies is the number of copies of the model that a group has to be able to hold at the planned
// fill for even room. In a smaller group the loss of a card leaves layers without a holder, and recovery
// is worth more: groups of 1.4 to 1.9 copies served more at high load, but less on days with many losses.
const minEvenCopies = 2

// evensRoom reports whether the planner's EvenRoom applies to the group.
func (cov *coverage) evensRoom() bool {
	layers := 0
	for _, c := range cov.cards {
		layers += cov.planner.targetLayers(cov.model, c)
	}
	return cov.planner.EvenRoom && layers >= minEvenCopies*cov.model.Layers
}
