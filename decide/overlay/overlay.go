// Package overlay decides which gateways exchange updates with each other, and which of them do
// work on behalf of others, so that no gateway's work grows with the size of the fleet. Every
// gateway builds an Overlay from its own list of members; gateways with the same list decide
// alike.
package overlay

import (
	"cmp"
	"slices"

	"github.com/grademill/grademill/decide/rendezvous"
)

// FlatSize is the size up to which every gateway sends its updates to all others. In a larger
// fleet the gateways of a hall do so among each other, and one gateway of each hall sends the
// hall's sums to the other halls. Under high load, fleets of 24 and 30 gateways served 0.79 of
// the requests' value with digests to 12 others, and 0.78 with digests to 30, where the traffic
// cost more than it gained.
const FlatSize = 12

// Member is a gateway.
type Member struct {
	// Name is unique in the fleet.
	Name string
	// Address is where the gateway receives digests.
	Address string
	// Hall is its data hall.
	Hall string
	// HeardDirectly is set while digests arrive from the gateway itself, and not only reports of
	// it by others.
	HeardDirectly bool
	// StoreUnreachable is set while the store does not answer the gateway, according to its own
	// last report.
	StoreUnreachable bool
	// LinkMegabits is the link capacity of the gateway's host in Mbit/s, 0 when unknown.
	LinkMegabits uint32
}

// Overlay is one gateway's view of the fleet. It is immutable; the zero Overlay has a single
// gateway without a name.
type Overlay struct {
	// Self is the gateway itself.
	Self Member
	// Others are the other gateways, each once.
	Others []Member
	// FlatFleetSize is the size up to which the fleet is flat, 0 for FlatSize.
	FlatFleetSize int
}

// Size returns the number of gateways, including Self.
func (o Overlay) Size() int {
	return len(o.Others) + 1
}

// Flat reports whether every gateway sends its updates to all others.
func (o Overlay) Flat() bool {
	return o.Size() <= cmp.Or(o.FlatFleetSize, FlatSize)
}

// DigestPeers returns the gateways to which this one reports its use of endpoints.
func (o Overlay) DigestPeers() []Member {
	if o.Flat() {
		return o.Others
	}
	return o.PeersIn(o.Self.Hall)
}

// PeersIn returns the other gateways of a hall.
func (o Overlay) PeersIn(hall string) []Member {
	var list []Member
	for _, m := range o.Others {
		if m.Hall == hall {
			list = append(list, m)
		}
	}
	return list
}

// AssumeHallHeard returns a copy of o in which all gateways of this one's hall count as heard.
func (o Overlay) AssumeHallHeard() Overlay {
	o.Others = slices.Clone(o.Others)
	for i := range o.Others {
		o.Others[i].HeardDirectly = o.Others[i].HeardDirectly || o.Others[i].Hall == o.Self.Hall
	}
	return o
}

// Halls returns the halls of the other gateways except this one's own, sorted.
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

// IsDelegate reports whether this gateway sends its hall's sums to the other halls.
func (o Overlay) IsDelegate() bool {
	return !o.Flat() && o.linkRank(o.Self.Hall, o.live(o.Self.Hall)) == 0
}

// live returns the other gateways of a hall that run, as far as this gateway can tell. Unless
// the fleet is flat it gets no digests from gateways of other halls, so all of those count.
func (o Overlay) live(hall string) []Member {
	list := o.PeersIn(hall)
	if hall != o.Self.Hall && !o.Flat() {
		return list
	}
	return slices.DeleteFunc(list, func(m Member) bool { return !m.HeardDirectly })
}

// relaysPerHall is the number of gateways of a hall that take turns in passing on the sums of
// another hall. A single one may have ended unnoticed, and would be used until its announcement is
// removed.
const relaysPerHall = 3

// Relay returns the gateway of another hall to which this hall's sums are sent in the given round;
// it passes them on to the gateways of its hall. The relays differ from one sending hall to the
// next, so that none does all the work. The hall must have a gateway.
func (o Overlay) Relay(hall string, round int) Member {
	list := ranking(o.Self.Hall, o.PeersIn(hall))
	return list[round%min(relaysPerHall, len(list))]
}

// The gateways of a hall that ask the store for changes.
const (
	// storeReaderCount is the number of gateways that always ask: a single one may be slow or
	// end.
	storeReaderCount = 2
	// standbyCount is the number of gateways that ask while the store readers have no answer. The
	// others do not, so that the whole fleet does not query a store that answers late.
	standbyCount = 2
)

// storeKey is the rendezvous key that ranks gateways for asking the store.
const storeKey = "store"

// StoreReaders returns the gateways of this one's hall that ask the store for changes, so that
// this one asks them instead of the store. It returns none when this one must ask the store
// itself. Half of a hall's gateways get them in reverse order, which spreads the load.
func (o Overlay) StoreReaders() []Member {
	list, rank := o.storeRanking()
	if rank < storeReaderCount {
		return nil
	}
	list = list[:min(storeReaderCount, len(list))]
	if rendezvous.Rank(storeKey, o.Self.Name, namesOf(o.live(o.Self.Hall)))%2 == 1 {
		slices.Reverse(list)
	}
	return list
}

// StandbyStoreReaders returns the gateways of this one's hall that ask the store while those of
// StoreReaders have no answer, and reports whether this one is among them.
func (o Overlay) StandbyStoreReaders() (list []Member, self bool) {
	list, rank := o.storeRanking()
	if rank < storeReaderCount+standbyCount {
		return nil, rank >= storeReaderCount
	}
	return list[min(storeReaderCount, len(list)):min(storeReaderCount+standbyCount, len(list))], false
}

// storeRanking returns the other gateways of this one's hall in the order in which they ask the
// store, and the number of gateways before this one. It leaves out gateways that the store does
// not answer. All gateways, this one included, are ranked in a single list, so that the
// gateways of a hall agree.
func (o Overlay) storeRanking() ([]Member, int) {
	if o.Flat() {
		return nil, 0
	}
	live := o.live(o.Self.Hall)
	connected := slices.DeleteFunc(slices.Clone(live), func(m Member) bool { return m.StoreUnreachable })
	if o.Self.StoreUnreachable && len(connected) > 0 {
		return ranking(storeKey, connected), storeReaderCount + standbyCount
	}
	if len(connected) == 0 && o.Self.StoreUnreachable { // the store is down: rank all, or all would ask it once it is back
		connected = live
	}
	list := ranking(storeKey, append(connected, o.Self))
	rank := o.position(list)
	return slices.Delete(list, rank, rank+1), rank
}

// position returns the index of this gateway in a list, -1 when absent.
func (o Overlay) position(list []Member) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.Name == o.Self.Name })
}

// ItemRank returns the number of gateways that are responsible before this one for an item of a
// hall, such as an endpoint. The gateways of that hall come first.
func (o Overlay) ItemRank(key, hall string) int {
	inHall := o.live(hall)
	if hall == o.Self.Hall {
		return o.keyRank(key, inHall)
	}
	return len(inHall) + o.keyRank(key, o.outside(hall))
}

// FleetRank returns the number of gateways before this one in doing work for the whole fleet. It
// leaves out those that this gateway knows to have ended.
func (o Overlay) FleetRank(key string) int {
	return o.linkRank(key, append(o.live(o.Self.Hall), o.outside(o.Self.Hall)...))
}

// cleanKey is the rendezvous key that ranks gateways for cleaning up after ended gateways.
const cleanKey = "clean"

// CleansUpAfter reports whether this gateway cleans up after another one that has ended. The
// delegate of the ended gateway's hall does so; where the fleet is flat, or no gateway of that
// hall remains, one of the fleet does.
func (o Overlay) CleansUpAfter(ended Member) bool {
	if !o.Flat() && (ended.Hall == o.Self.Hall || len(o.PeersIn(ended.Hall)) > 0) {
		return ended.Hall == o.Self.Hall && o.IsDelegate()
	}
	return o.FleetRank(cleanKey) == 0
}

// keeperCount is the number of gateways that keep count of one key: some may have ended unnoticed
// or be unreachable.
const keeperCount = 5

// Keepers returns the gateways, possibly including this one, that keep count of a key for the
// whole fleet, the first in rank first. Gateways with the same list of members agree on them.
func (o Overlay) Keepers(key string) []Member {
	all := append([]Member{o.Self}, o.Others...)
	names := namesOf(all)
	top := rendezvous.Top(key, names, keeperCount)
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

// linkRank returns the number of others before this gateway in the order of ranking.
func (o Overlay) linkRank(key string, others []Member) int {
	return o.position(ranking(key, append(slices.Clone(others), o.Self)))
}

// keyRank returns the number of others before this gateway in the rendezvous order for a key
// alone.
func (o Overlay) keyRank(key string, others []Member) int {
	return rendezvous.Rank(key, o.Self.Name, namesOf(others))
}

// namesOf returns the names of gateways, in the same order.
func namesOf(list []Member) []string {
	names := make([]string, len(list))
	for i, m := range list {
		names[i] = m.Name
	}
	return names
}
