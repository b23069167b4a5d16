// Package overlay decides which gateways tell each other what, and which of them
// look after what, so that no gateway's work grows with the whole fleet.
package overlay

import (
	"cmp"
	"slices"

	"github.com/grademill/grademill/decide/rendezvous"
)

// FlatSize is the size of a fleet up to which every gateway tells every other one
// all. Above it the gateways of a hall do so among each other, and one of each hall
// tells the other halls the sums. Mean worth of two sites' four days of high load (24
// and 30 gateways): 0.79 with digests to 12 others, 0.78 with digests to 30, where the
// bytes cost more than they win.
const FlatSize = 12

// Member is a gateway.
type Member struct {
	// Name is unique in the fleet.
	Name string
	// Address is where it hears digests.
	Address string
	// Hall is its data hall.
	Hall string
	// Heard is set while it is heard of by itself, and not through another one.
	Heard bool
	// Cut is set while the store gives it no answer, as far as it has said so.
	Cut bool
	// LinkMegabits is what the link of its host carries, in Mbit/s, 0 when that is not known.
	LinkMegabits uint32
}

// Overlay is what one gateway takes the fleet to be. It is immutable; the zero
// Overlay has one gateway without a name.
type Overlay struct {
	// Self is the gateway itself.
	Self Member
	// Others are the other gateways, each once.
	Others []Member
	// FlatUpTo is the size up to which the fleet is flat, 0 for FlatSize.
	FlatUpTo int
}

// Size returns the number of gateways.
func (o Overlay) Size() int {
	return len(o.Others) + 1
}

// Flat reports whether every gateway tells every other one all.
func (o Overlay) Flat() bool {
	return o.Size() <= cmp.Or(o.FlatUpTo, FlatSize)
}

// Audience returns the gateways that are told what this one uses.
func (o Overlay) Audience() []Member {
	if o.Flat() {
		return o.Others
	}
	return o.In(o.Self.Hall)
}

// In returns the other gateways of a hall.
func (o Overlay) In(hall string) []Member {
	var list []Member
	for _, m := range o.Others {
		if m.Hall == hall {
			list = append(list, m)
		}
	}
	return list
}

// Trusting returns the same fleet with all gateways of this one's hall taken to be heard.
func (o Overlay) Trusting() Overlay {
	o.Others = slices.Clone(o.Others)
	for i := range o.Others {
		o.Others[i].Heard = o.Others[i].Heard || o.Others[i].Hall == o.Self.Hall
	}
	return o
}

// Halls returns the halls of the other gateways without that of this one, sorted.
func (o Overlay) Halls() []string {
	var list []string
	for _, m := range o.Others {
		if m.Hall != o.Self.Hall {
			list = append(list, m.Hall)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// Delegate reports whether this gateway speaks for its hall to the others.
func (o Overlay) Delegate() bool {
	return !o.Flat() && o.turn(o.Self.Hall, o.live(o.Self.Hall)) == 0
}

// live returns the other gateways of a hall that run, as far as this one can tell: it
// hears nothing of those that others speak for.
func (o Overlay) live(hall string) []Member {
	list := o.In(hall)
	if hall != o.Self.Hall && !o.Flat() {
		return list
	}
	return slices.DeleteFunc(list, func(m Member) bool { return !m.Heard })
}

// relays is the number of gateways of a hall that by turns pass the sums of another hall on:
// some may have ended without the others knowing, until their announcements go.
const relays = 3

// Relay returns the gateway of another hall that passes this one's sums on there, at the
// given turn. Each hall has others, so that none has all that work. The hall must have a
// gateway.
func (o Overlay) Relay(hall string, turn int) Member {
	list := ranking(o.Self.Hall, o.In(hall))
	return list[turn%min(relays, len(list))]
}

// The gateways of a hall that ask the store for changes.
const (
	// seats is the number of those that always do: one may be slow, or end.
	seats = 2
	// standbys is the number of those that do while the former have no answer. The others do not, so
	// that a store that answers late does not meet the whole fleet.
	standbys = 2
)

// storeKey is the key by which gateways are ranked for asking the store.
const storeKey = "store"

// Seats returns the gateways of this one's hall that ask the store for changes, so that
// this one can ask them; none when it is to ask the store itself. Half of the gateways of
// a hall have them in the other order.
func (o Overlay) Seats() []Member {
	list, turn := o.storeRanking()
	if turn < seats {
		return nil
	}
	list = list[:min(seats, len(list))]
	if rendezvous.Before(storeKey, o.Self.Name, namesOf(o.live(o.Self.Hall)))%2 == 1 {
		slices.Reverse(list)
	}
	return list
}

// Standbys returns the gateways of this one's hall that ask the store while those of the seats have
// no answer, and reports whether this one is to do so.
func (o Overlay) Standbys() (list []Member, self bool) {
	list, turn := o.storeRanking()
	if turn < seats+standbys {
		return nil, turn >= seats
	}
	return list[min(seats, len(list)):min(seats+standbys, len(list))], false
}

// storeRanking returns the other gateways of this one's hall in the order in which they are to ask the
// store, and how many come before this one. Those that the store does not answer are not among them. All
// are ranked in one list, so that the gateways of a hall agree.
func (o Overlay) storeRanking() ([]Member, int) {
	if o.Flat() {
		return nil, 0
	}
	live := o.live(o.Self.Hall)
	able := slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return m.Cut })
	if o.Self.Cut && len(able) > 0 {
		return ranking(storeKey, able), seats + standbys
	}
	if len(able) == 0 && o.Self.Cut { // the store is away: it is not to meet all when it is back
		able = live
	}
	list := ranking(storeKey, append(able, o.Self))
	turn := o.position(list)
	return slices.Delete(list, turn, turn+1), turn
}

// position returns where this gateway stands in a list.
func (o Overlay) position(list []Member) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.Name == o.Self.Name })
}

// Rank returns how many gateways come before this one in looking after a thing of a
// hall: those of that hall first.
func (o Overlay) Rank(key, hall string) int {
	near := o.live(hall)
	if hall == o.Self.Hall {
		return o.rank(key, near)
	}
	return len(near) + o.rank(key, o.outside(hall))
}

// Turn returns how many gateways come before this one in doing a thing of the whole fleet.
// Those that are known to have ended do not count.
func (o Overlay) Turn(key string) int {
	return o.turn(key, append(o.live(o.Self.Hall), o.outside(o.Self.Hall)...))
}

// cleanKey is the key by which gateways are ranked for cleaning up after those that have ended.
const cleanKey = "clean"

// Cleans reports whether this gateway is to clean up after another one that has ended: one of its hall
// does, and one of the fleet where there is no other hall, or none of that hall is left.
func (o Overlay) Cleans(ended Member) bool {
	if !o.Flat() && (ended.Hall == o.Self.Hall || len(o.In(ended.Hall)) > 0) {
		return ended.Hall == o.Self.Hall && o.Delegate()
	}
	return o.Turn(cleanKey) == 0
}

// keepers is the number of gateways that keep count of a thing: some may have ended without the
// others knowing, or be cut off.
const keepers = 5

// Keepers returns the gateways that keep count of a thing of the whole fleet, this one
// among them where it is one. All gateways that know the same fleet name the same ones, the
// first one first.
func (o Overlay) Keepers(key string) []Member {
	all := append([]Member{o.Self}, o.Others...)
	names := namesOf(all)
	top := rendezvous.Top(key, names, keepers)
	list := make([]Member, len(top))
	for i, name := range top {
		list[i] = all[slices.Index(names, name)]
	}
	return list
}

// outside returns the other gateways that are not in a hall.
func (o Overlay) outside(hall string) []Member {
	var list []Member
	for _, m := range o.Others {
		if m.Hall != hall {
			list = append(list, m)
		}
	}
	return list
}

// turn returns how many of a list come before this gateway in doing a thing for others.
func (o Overlay) turn(key string, others []Member) int {
	return o.position(ranking(key, append(slices.Clone(others), o.Self)))
}

// rank returns how many of a list come before this gateway for a key.
func (o Overlay) rank(key string, others []Member) int {
	return rendezvous.Before(key, o.Self.Name, namesOf(others))
}

// namesOf returns the names of gateways, in their order.
func namesOf(list []Member) []string {
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = m.Name
	}
	return names
}
