package overlay_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/overlay"
)

// fleet returns the members of a fleet with the given number of gateways in each hall.
func fleet(halls, each int) []overlay.Member {
	var list []overlay.Member
	for h := range halls {
		for i := range each {
			list = append(list, overlay.Member{
				Name: fmt.Sprintf("gateway-%d-%d", h, i), Hall: fmt.Sprint("hall-", h), HeardDirectly: true,
			})
		}
	}
	return list
}

// views returns the overlay of each gateway of a fleet.
func views(all []overlay.Member) []overlay.Overlay {
	var list []overlay.Overlay
	for i, self := range all {
		o := overlay.Overlay{Self: self}
		for j, other := range all {
			other.HeardDirectly = other.Hall == self.Hall
			if i != j {
				o.Others = append(o.Others, other)
			}
		}
		list = append(list, o)
	}
	return list
}

func TestSmallFleetIsFlat(t *testing.T) {
	for _, o := range views(fleet(3, 4)) {
		require.True(t, o.Flat())
		require.Len(t, o.DigestPeers(), 11)
		require.False(t, o.IsDelegate())
		require.Empty(t, o.StoreReaders())
		o.FlatFleetSize = 11
		require.False(t, o.Flat())
		require.Len(t, o.DigestPeers(), 3)
	}
}

// In a large fleet a gateway reports to those of its hall, and each hall has one delegate.
func TestLargeFleetReportsByHall(t *testing.T) {
	delegates := make(map[string]int)
	for _, o := range views(fleet(5, 14)) {
		require.Len(t, o.DigestPeers(), 13)
		require.Len(t, o.Halls(), 4)
		if o.IsDelegate() {
			delegates[o.Self.Hall]++
		}
	}
	require.Len(t, delegates, 5)
	for hall, n := range delegates {
		require.Equal(t, 1, n, hall)
	}
}

// The sums of a hall reach another one through three gateways in turn, which differ between
// sending halls.
func TestRelays(t *testing.T) {
	relays := make(map[string]bool)
	for _, o := range views(fleet(5, 14)) {
		for _, hall := range o.Halls() {
			one, two, three := o.Relay(hall, 1), o.Relay(hall, 2), o.Relay(hall, 3)
			require.NotEqual(t, one.Name, two.Name)
			require.NotEqual(t, one.Name, three.Name)
			require.NotEqual(t, two.Name, three.Name)
			require.Equal(t, one, o.Relay(hall, 4))
			require.Equal(t, hall, one.Hall)
			relays[one.Name] = true
		}
	}
	require.Greater(t, len(relays), 10)
}

// For each item, a gateway of the item's hall ranks first, and the gateways of that hall have
// distinct ranks.
func TestRanks(t *testing.T) {
	all := views(fleet(5, 14))
	for i := range 50 {
		key, hall := fmt.Sprint("endpoint-", i), fmt.Sprint("hall-", i%5)
		inHall := make(map[int]bool)
		for _, o := range all {
			rank := o.ItemRank(key, hall)
			if o.Self.Hall == hall {
				require.Less(t, rank, 14)
				inHall[rank] = true
			} else {
				require.GreaterOrEqual(t, rank, 14)
			}
		}
		require.Len(t, inHall, 14)
	}
}

// The gateways of a fleet have distinct ranks for work of the whole fleet, and one ranks first.
func TestFleetRanks(t *testing.T) {
	ranks := make(map[int]bool)
	for _, o := range views(fleet(5, 14)) {
		ranks[o.FleetRank("orders")] = true
	}
	require.Len(t, ranks, 70)
	require.True(t, ranks[0])
}

// Gateways that have ended count neither in ranks nor as delegates.
func TestEndedGatewaysAreNotRanked(t *testing.T) {
	for _, o := range views(fleet(5, 4)) {
		for i := range o.Others {
			o.Others[i].HeardDirectly = false
		}
		require.True(t, o.IsDelegate())
		require.Zero(t, o.ItemRank("endpoint", o.Self.Hall))
		require.Empty(t, o.StoreReaders())
	}
}

// Two gateways of a hall ask the store, and the others ask these two, half of them in reverse
// order. Another gateway replaces one that the store does not answer.
func TestStoreReaders(t *testing.T) {
	first := make(map[string]int)
	direct := make(map[string][]string)
	for _, o := range views(fleet(5, 14)) {
		list := o.StoreReaders()
		if len(list) == 0 {
			direct[o.Self.Hall] = append(direct[o.Self.Hall], o.Self.Name)
			continue
		}
		require.Len(t, list, 2)
		require.Equal(t, o.Self.Hall, list[0].Hall)
		first[list[0].Name]++
	}
	for hall, names := range direct {
		require.Len(t, names, 2, hall)
		for _, name := range names {
			require.Equal(t, 6, first[name])
		}
	}
	all := fleet(5, 14)
	for i := range all {
		all[i].StoreUnreachable = all[i].Name == direct[all[i].Hall][0]
	}
	for _, o := range views(all) {
		if list := o.StoreReaders(); o.Self.StoreUnreachable {
			require.Len(t, list, 2)
		} else {
			for _, m := range list {
				require.False(t, m.StoreUnreachable)
			}
		}
	}
}

// Where the store answers no gateway of a hall, two of them keep asking it; where it answers
// only one, that one does.
func TestStoreReadersDuringAnOutage(t *testing.T) {
	all := fleet(5, 4)
	for i := range all {
		all[i].StoreUnreachable = true
	}
	direct := make(map[string]int)
	for _, o := range views(all) {
		if len(o.StoreReaders()) == 0 {
			direct[o.Self.Hall]++
		}
	}
	require.Len(t, direct, 5)
	for hall, n := range direct {
		require.Equal(t, 2, n, hall)
	}
	all[0].StoreUnreachable = false
	for _, o := range views(all)[:4] {
		if list := o.StoreReaders(); o.Self.StoreUnreachable {
			require.Equal(t, all[0].Name, list[0].Name)
		} else {
			require.Empty(t, list)
		}
	}
}

// Gateways with the same list of members choose the same keepers, from all halls. In a small fleet
// every gateway is one.
func TestKeepersAreTheSameForAll(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 3, 5, 60} {
		all := make([]overlay.Member, size)
		for i := range all {
			all[i] = overlay.Member{Name: fmt.Sprint("gateway-", i), Hall: fmt.Sprint("hall-", i%3)}
		}
		var chosen []overlay.Member
		for i, self := range all {
			others := slices.Delete(slices.Clone(all), i, i+1)
			keepers := overlay.Overlay{Self: self, Others: others}.Keepers("key")
			if i == 0 {
				chosen = keepers
			}
			require.Equal(t, chosen, keepers)
		}
		require.Len(t, chosen, min(size, 5))
	}
}

// mixedLinks returns a fleet whose halls have a few hosts with fast links and many with slow
// ones.
func mixedLinks(halls, fast, each int) []overlay.Member {
	list := fleet(halls, each)
	for i := range list {
		list[i].LinkMegabits = 20
		if i%each < fast {
			list[i].LinkMegabits = 1000
		}
	}
	return list
}

// A host with a slow link does no work for many others while its hall has fast links: sending a
// changed configuration to 93 others saturated such a link for seconds.
func TestSlowLinksGetNoSharedWork(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ halls, fast, each int }{{5, 3, 19}, {5, 14, 94}, {5, 25, 200}} {
		all := mixedLinks(size.halls, size.fast, size.each)
		slow := func(m overlay.Member) bool { return m.LinkMegabits < 1000 }
		readers := 0
		for _, o := range views(all) {
			if len(o.StoreReaders()) == 0 {
				readers++
				require.False(t, slow(o.Self))
			}
			require.False(t, o.IsDelegate() && slow(o.Self))
			require.False(t, o.FleetRank("orders") == 0 && slow(o.Self))
			for _, hall := range o.Halls() {
				require.False(t, slow(o.Relay(hall, 1)) || slow(o.Relay(hall, 2)) || slow(o.Relay(hall, 3)))
			}
		}
		require.Equal(t, 2*size.halls, readers)
	}
}

// A single host with a fast link does not do all the work of a hall of slow links.
func TestSingleFastLinkIsNotOverloaded(t *testing.T) {
	t.Parallel()
	readers := make(map[bool]int)
	for _, o := range views(mixedLinks(5, 1, 19)) {
		if len(o.StoreReaders()) == 0 {
			readers[o.Self.LinkMegabits == 1000]++
		}
	}
	require.Equal(t, 10, readers[true]+readers[false])
	require.Greater(t, readers[false], 5)
}

// Two more gateways of a hall ask the store while the first two have no answer, and all others
// ask these two.
func TestStandbys(t *testing.T) {
	t.Parallel()
	standbys, asked := make(map[string][]string), make(map[string]map[string]bool)
	for _, o := range views(fleet(5, 14)) {
		list, self := o.StandbyStoreReaders()
		if self {
			standbys[o.Self.Hall] = append(standbys[o.Self.Hall], o.Self.Name)
			require.Len(t, o.StoreReaders(), 2)
		}
		require.Equal(t, self || len(o.StoreReaders()) == 0, len(list) == 0)
		for _, m := range list {
			if asked[m.Hall] == nil {
				asked[m.Hall] = make(map[string]bool)
			}
			asked[m.Hall][m.Name] = true
		}
	}
	for hall, names := range standbys {
		require.Len(t, names, 2)
		require.ElementsMatch(t, names, slices.Collect(maps.Keys(asked[hall])))
	}
	require.Len(t, standbys, 5)
	for _, o := range views(fleet(5, 3)) {
		_, self := o.StandbyStoreReaders()
		require.Equal(t, len(o.StoreReaders()) > 0, self)
	}
}

// The gateways that others ask are those that ask the store, whatever the size of the hall.
// When each gateway ranked the others without itself, one in a hall of 24 disagreed with them.
func TestGatewaysAgreeOnTheStoreReaders(t *testing.T) {
	t.Parallel()
	for each := 13; each <= 34; each++ {
		for fast := 1; fast <= 4; fast++ {
			selected, direct := make(map[string]bool), make(map[string]bool)
			for _, o := range views(mixedLinks(2, fast, each)) {
				list := o.StoreReaders()
				if len(list) == 0 {
					direct[o.Self.Name] = true
				}
				for _, m := range list {
					selected[m.Name] = true
				}
			}
			require.Equal(t, direct, selected, "%d of %d with fast links", fast, each)
		}
	}
}
