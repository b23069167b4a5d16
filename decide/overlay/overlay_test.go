package overlay_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/overlay"
)

// fleet returns the members of a fleet, each hall of a size.
func fleet(halls, each int) []overlay.Member {
	var list []overlay.Member
	for h := range halls {
		for i := range each {
			list = append(list, overlay.Member{
				Name: fmt.Sprintf("gateway-%d-%d", h, i), Hall: fmt.Sprint("hall-", h), Heard: true,
			})
		}
	}
	return list
}

// views returns what each gateway of a fleet takes it to be.
func views(all []overlay.Member) []overlay.Overlay {
	var list []overlay.Overlay
	for i, self := range all {
		o := overlay.Overlay{Self: self}
		for j, other := range all {
			other.Heard = other.Hall == self.Hall
			if i != j {
				o.Others = append(o.Others, other)
			}
		}
		list = append(list, o)
	}
	return list
}

func TestSmallFleetTellsAll(t *testing.T) {
	for _, o := range views(fleet(3, 4)) {
		require.True(t, o.Flat())
		require.Len(t, o.Audience(), 11)
		require.False(t, o.Delegate())
		require.Empty(t, o.Seats())
		o.FlatUpTo = 11
		require.False(t, o.Flat())
		require.Len(t, o.Audience(), 3)
	}
}

// In a large fleet a gateway tells those of its hall; one of each hall speaks for it.
func TestLargeFleetTellsByHall(t *testing.T) {
	speakers := make(map[string]int)
	for _, o := range views(fleet(5, 14)) {
		require.Len(t, o.Audience(), 13)
		require.Len(t, o.Halls(), 4)
		if o.Delegate() {
			speakers[o.Self.Hall]++
		}
	}
	require.Len(t, speakers, 5)
	for hall, n := range speakers {
		require.Equal(t, 1, n, hall)
	}
}

// The sums of a hall reach another one through three gateways by turns, which are not the
// same for all halls.
func TestRelays(t *testing.T) {
	through := make(map[string]bool)
	for _, o := range views(fleet(5, 14)) {
		for _, hall := range o.Halls() {
			one, two, three := o.Relay(hall, 1), o.Relay(hall, 2), o.Relay(hall, 3)
			require.NotEqual(t, one.Name, two.Name)
			require.NotEqual(t, one.Name, three.Name)
			require.NotEqual(t, two.Name, three.Name)
			require.Equal(t, one, o.Relay(hall, 4))
			require.Equal(t, hall, one.Hall)
			through[one.Name] = true
		}
	}
	require.Greater(t, len(through), 10)
}

// Each thing has a first gateway to look after it, in its own hall, and the ranks of the
// gateways of that hall are all different.
func TestRanks(t *testing.T) {
	all := views(fleet(5, 14))
	for i := range 50 {
		key, hall := fmt.Sprint("endpoint-", i), fmt.Sprint("hall-", i%5)
		near := make(map[int]bool)
		for _, o := range all {
			rank := o.Rank(key, hall)
			if o.Self.Hall == hall {
				require.Less(t, rank, 14)
				near[rank] = true
			} else {
				require.GreaterOrEqual(t, rank, 14)
			}
		}
		require.Len(t, near, 14)
	}
}

// One gateway of the fleet is the first to do a thing of all, and the turns differ.
func TestTurns(t *testing.T) {
	turns := make(map[int]bool)
	for _, o := range views(fleet(5, 14)) {
		turns[o.Turn("orders")] = true
	}
	require.Len(t, turns, 70)
	require.True(t, turns[0])
}

// Those that have ended are passed over in ranks and as speakers.
func TestEndedGatewaysHaveNoRank(t *testing.T) {
	for _, o := range views(fleet(5, 4)) {
		for i := range o.Others {
			o.Others[i].Heard = false
		}
		require.True(t, o.Delegate())
		require.Zero(t, o.Rank("endpoint", o.Self.Hall))
		require.Empty(t, o.Seats())
	}
}

// Two gateways of a hall ask the store, and the others ask these, half of them in the
// other order. One that the store does not answer leaves its seat.
func TestSeats(t *testing.T) {
	first := make(map[string]int)
	direct := make(map[string][]string)
	for _, o := range views(fleet(5, 14)) {
		list := o.Seats()
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
		all[i].Cut = all[i].Name == direct[all[i].Hall][0]
	}
	for _, o := range views(all) {
		if list := o.Seats(); o.Self.Cut {
			require.Len(t, list, 2)
		} else {
			for _, m := range list {
				require.False(t, m.Cut)
			}
		}
	}
}

// Where the store answers no gateway of the hall, two of them go on asking it; where it
// answers only one, that one does.
func TestSeatsWhileTheStoreIsAway(t *testing.T) {
	all := fleet(5, 4)
	for i := range all {
		all[i].Cut = true
	}
	direct := make(map[string]int)
	for _, o := range views(all) {
		if len(o.Seats()) == 0 {
			direct[o.Self.Hall]++
		}
	}
	require.Len(t, direct, 5)
	for hall, n := range direct {
		require.Equal(t, 2, n, hall)
	}
	all[0].Cut = false
	for _, o := range views(all)[:4] {
		if list := o.Seats(); o.Self.Cut {
			require.Equal(t, all[0].Name, list[0].Name)
		} else {
			require.Empty(t, list)
		}
	}
}

// All gateways that know the same fleet name the same ones to keep count of a thing, among
// them those of other halls, and in a small fleet all.
func TestKeepersAreTheSameForAll(t *testing.T) {
	t.Parallel()
	for _, size := range []int{1, 3, 5, 60} {
		all := make([]overlay.Member, size)
		for i := range all {
			all[i] = overlay.Member{Name: fmt.Sprint("gateway-", i), Hall: fmt.Sprint("hall-", i%3)}
		}
		var named []overlay.Member
		for i, self := range all {
			others := slices.Delete(slices.Clone(all), i, i+1)
			keepers := overlay.Overlay{Self: self, Others: others}.Keepers("key")
			if i == 0 {
				named = keepers
			}
			require.Equal(t, named, keepers)
		}
		require.Len(t, named, min(size, 5))
	}
}

// mixed returns a fleet whose halls have a few hosts with thick links among many with thin ones.
func mixed(halls, thick, each int) []overlay.Member {
	list := fleet(halls, each)
	for i := range list {
		list[i].LinkMegabits = 20
		if i%each < thick {
			list[i].LinkMegabits = 1000
		}
	}
	return list
}

// A host with a thin link does nothing for many others while its hall has thick ones: the changes of a
// configuration for 93 others filled such a link for seconds.
func TestThinLinksServeNobody(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ halls, thick, each int }{{5, 3, 19}, {5, 14, 94}, {5, 25, 200}} {
		all := mixed(size.halls, size.thick, size.each)
		thin := func(m overlay.Member) bool { return m.LinkMegabits < 1000 }
		seats := 0
		for _, o := range views(all) {
			if len(o.Seats()) == 0 {
				seats++
				require.False(t, thin(o.Self))
			}
			require.False(t, o.Delegate() && thin(o.Self))
			require.False(t, o.Turn("orders") == 0 && thin(o.Self))
			for _, hall := range o.Halls() {
				require.False(t, thin(o.Relay(hall, 1)) || thin(o.Relay(hall, 2)) || thin(o.Relay(hall, 3)))
			}
		}
		require.Equal(t, 2*size.halls, seats)
	}
}

// A single thick link among thin ones is not to carry all.
func TestOneThickLinkServesNotAll(t *testing.T) {
	t.Parallel()
	seats := make(map[bool]int)
	for _, o := range views(mixed(5, 1, 19)) {
		if len(o.Seats()) == 0 {
			seats[o.Self.LinkMegabits == 1000]++
		}
	}
	require.Equal(t, 10, seats[true]+seats[false])
	require.Greater(t, seats[false], 5)
}

// Two more gateways of a hall ask the store while the first two have no answer, and all others ask these.
func TestStandbys(t *testing.T) {
	t.Parallel()
	standing, asked := make(map[string][]string), make(map[string]map[string]bool)
	for _, o := range views(fleet(5, 14)) {
		list, self := o.Standbys()
		if self {
			standing[o.Self.Hall] = append(standing[o.Self.Hall], o.Self.Name)
			require.Len(t, o.Seats(), 2)
		}
		require.Equal(t, self || len(o.Seats()) == 0, len(list) == 0)
		for _, m := range list {
			if asked[m.Hall] == nil {
				asked[m.Hall] = make(map[string]bool)
			}
			asked[m.Hall][m.Name] = true
		}
	}
	for hall, names := range standing {
		require.Len(t, names, 2)
		require.ElementsMatch(t, names, slices.Collect(maps.Keys(asked[hall])))
	}
	require.Len(t, standing, 5)
	for _, o := range views(fleet(5, 3)) {
		_, self := o.Standbys()
		require.Equal(t, len(o.Seats()) > 0, self)
	}
}

// Those that a gateway asks are those that ask the store, at every size of a hall: ranked with itself and
// without, a gateway of 24 took others for these than they did themselves.
func TestAskersAgreeOnWhoAsksTheStore(t *testing.T) {
	t.Parallel()
	for each := 13; each <= 34; each++ {
		for thick := 1; thick <= 4; thick++ {
			asked, direct := make(map[string]bool), make(map[string]bool)
			for _, o := range views(mixed(2, thick, each)) {
				list := o.Seats()
				if len(list) == 0 {
					direct[o.Self.Name] = true
				}
				for _, m := range list {
					asked[m.Name] = true
				}
			}
			require.Equal(t, direct, asked, "%d of %d with thick links", thick, each)
		}
	}
}
