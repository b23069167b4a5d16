package gossip_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/role/gossip"
	wire "github.com/grademill/grademill/wire/gossip"
)

// manyTeams returns a demand of all 20 classes with the given number of teams, each in one class,
// and names of a length.
func manyTeams(teams, nameBytes int) demand.Demand {
	d := demand.Demand{
		Admitted: 650, Refused: 1300, Waiting: 800, CapacitySum: 28000, Estimates: 43, Classes: make(map[demand.Class]demand.Load),
	}
	for i := range teams {
		class := demand.Class{Priority: i % 10, Returning: i%20 >= 10}
		load := d.Classes[class]
		if load.Teams == nil {
			load.Teams = make(map[string]float64)
		}
		name := fmt.Sprintf("team-%03d", i)
		name += strings.Repeat("x", max(nameBytes-len(name), 0))
		offered := 1 + float64(i)/8
		load.Teams[name] = offered
		load.Offered += offered
		d.Classes[class] = load
	}
	return d
}

func TestLoadsAreDecodedAsEncoded(t *testing.T) {
	class := demand.Class{Priority: 2, Returning: true}
	demands := map[string]demand.Demand{
		"chat": {
			Admitted: 12.5, Refused: 0.25, Waiting: 3, CapacitySum: 200, Estimates: 2,
			Classes: map[demand.Class]demand.Load{
				{}:    {Offered: 10, Teams: map[string]float64{"a": 4, "b": 5.5}},
				class: {Offered: 2.125, Teams: map[string]float64{}},
			},
		},
		"waiting": {Waiting: 1, Classes: map[demand.Class]demand.Load{}},
	}
	require.Equal(t, demands, gossip.DecodeLoads(gossip.EncodeLoads(demands)))
	require.Empty(t, gossip.EncodeLoads(map[string]demand.Demand{"idle": {}, "": demands["chat"]}))
}

// Guards against values that cannot be encoded: a digest with a string that is not UTF-8 would not
// be sent at all, and a rate that overflows would look like almost none.
func TestUnusualValuesAreEncoded(t *testing.T) {
	loads := gossip.EncodeLoads(map[string]demand.Demand{
		"\xff": {Admitted: 1},
		"chat": {
			Admitted: 1e12, Refused: -1, Waiting: math.NaN(), CapacitySum: 6e6, Estimates: 3,
			Classes: map[demand.Class]demand.Load{
				{}:             {Offered: 1, Teams: map[string]float64{"\xff": 1, "": 1, strings.Repeat("x", 129): 1, "a": 1, "b": 0}},
				{Priority: 10}: {Offered: 1}, {Priority: -1}: {Offered: 1}, {Priority: 1}: {Offered: 0.0001},
			},
		},
	})
	_, err := proto.Marshal(&wire.Digest{Loads: loads})
	require.NoError(t, err)
	got := gossip.DecodeLoads(loads)
	require.Len(t, got, 1)
	chat := got["chat"]
	require.InDelta(t, math.MaxUint32/1000.0, chat.Admitted, 1e-9)
	require.Zero(t, chat.Refused)
	require.Zero(t, chat.Waiting)
	require.InDelta(t, 2e6, chat.Capacity(), 1e-9, "the mean is kept where the sum does not fit")
	require.Equal(t, map[demand.Class]demand.Load{{}: {Offered: 1, Teams: map[string]float64{"a": 1}}}, chat.Classes)
}

// Guards against malformed entries that count, and against their spoiling the entries beside them.
func TestMalformedLoadsAreDropped(t *testing.T) {
	good := &wire.ClassLoad{Priority: 9, OfferedMillis: 3000, Teams: []*wire.TeamLoad{
		{Team: "", OfferedMillis: 1},
		{Team: strings.Repeat("x", 129), OfferedMillis: 1},
		{Team: "more than its class", OfferedMillis: 3001},
		{Team: "a", OfferedMillis: 2000},
		{Team: "a", OfferedMillis: 1000},
		{Team: "none"},
		nil,
	}}
	got := gossip.DecodeLoads([]*wire.ServiceLoad{
		nil,
		{AdmittedMillis: 1},
		{Service: "chat", AdmittedMillis: 1000, Estimates: 5, Classes: []*wire.ClassLoad{
			{Priority: 10, OfferedMillis: 1000}, {Priority: math.MaxUint32, OfferedMillis: 1000}, nil, good, {Priority: 9, OfferedMillis: 7000},
		}},
		{Service: "chat", AdmittedMillis: 7000},
	})
	require.Equal(t, map[string]demand.Demand{"chat": {
		Admitted: 1, Classes: map[demand.Class]demand.Load{{Priority: 9}: {Offered: 3, Teams: map[string]float64{"a": 2}}},
	}}, got)
}

// Guards against loads that crowd out the uses of a digest or exceed a datagram. 4 kB for a service
// keeps the traffic of the largest hall in proportion to that of the uses.
func TestLoadsAreBounded(t *testing.T) {
	for _, nameBytes := range []int{8, 12, 36, 128} {
		d := manyTeams(420, nameBytes)
		loads := gossip.EncodeLoads(map[string]demand.Demand{strings.Repeat("s", 128): d})
		size := proto.Size(&wire.Digest{Loads: loads})
		t.Logf("names of %d bytes: %d bytes", nameBytes, size)
		require.Less(t, size, 4000)
		got := gossip.DecodeLoads(loads)[loads[0].GetService()]
		require.Len(t, got.Classes, 20)
		require.InDelta(t, d.Offered(), got.Offered(), 0.1)
		for class, load := range got.Classes {
			require.NotEmpty(t, load.Teams)
			require.LessOrEqual(t, len(load.Teams), demand.MaxTeams)
			heaviest := d.Classes[class].HeaviestTeams()[:len(load.Teams)]
			require.ElementsMatch(t, heaviest, load.HeaviestTeams())
			if nameBytes <= 12 {
				require.Len(t, load.Teams, demand.MaxTeams, "names of the usual length all fit")
			}
		}
	}
	many := make(map[string]demand.Demand)
	for i := range 300 {
		d := manyTeams(420, 128)
		d.Refused = float64(i)
		if i >= 250 {
			d = d.Plus(d)
		}
		many[fmt.Sprintf("%0128d", i)] = d
	}
	loads := gossip.EncodeLoads(many)
	require.Len(t, loads, 64)
	require.Less(t, proto.Size(&wire.Digest{Loads: loads}), 44<<10)
	got := gossip.DecodeLoads(loads)
	for i := 250; i < 300; i++ {
		require.Contains(t, got, fmt.Sprintf("%0128d", i), "services with the most demand are kept")
	}
	for range 100 {
		loads = append(loads, &wire.ServiceLoad{Service: fmt.Sprint("more-", len(loads)), Waiting: 1})
	}
	require.Len(t, gossip.DecodeLoads(loads), 64)
}

// formerDigest returns the descriptor of a digest without loads, as in the former build.
func formerDigest(t *testing.T) protoreflect.MessageDescriptor {
	file := protodesc.ToFileDescriptorProto(wire.File_wire_gossip_gossip_proto)
	for _, m := range file.GetMessageType() {
		if m.GetName() != "Digest" {
			continue
		}
		for i, field := range m.GetField() {
			if field.GetName() == "loads" {
				m.Field = append(m.Field[:i:i], m.Field[i+1:]...)
				break
			}
		}
	}
	former, err := protodesc.NewFile(file, nil)
	require.NoError(t, err)
	return former.Messages().ByName("Digest")
}

// Guards against a digest with loads that the former build does not understand, or whose loads it
// loses when it relays the digest, and against a digest of the former build that this one does not
// understand.
func TestFormerBuildUnderstandsDigestsWithLoads(t *testing.T) {
	demands := map[string]demand.Demand{"chat": manyTeams(20, 8)}
	d := &wire.Digest{Gateway: "a", Number: 7, Uses: []*wire.Use{{Endpoint: "card", Active: 3}}, Loads: gossip.EncodeLoads(demands)}
	text, err := proto.Marshal(d)
	require.NoError(t, err)
	former := dynamicpb.NewMessage(formerDigest(t))
	require.Nil(t, former.Descriptor().Fields().ByName("loads"))
	require.NoError(t, proto.Unmarshal(text, former))
	require.Equal(t, "a", former.Get(former.Descriptor().Fields().ByName("gateway")).String())
	require.Equal(t, 1, former.Get(former.Descriptor().Fields().ByName("uses")).List().Len())
	relayed, err := proto.Marshal(former)
	require.NoError(t, err)
	got := new(wire.Digest)
	require.NoError(t, proto.Unmarshal(relayed, got))
	require.True(t, proto.Equal(d, got))

	former.SetUnknown(nil)
	text, err = proto.Marshal(former)
	require.NoError(t, err)
	got = new(wire.Digest)
	require.NoError(t, proto.Unmarshal(text, got))
	require.EqualValues(t, 3, got.GetUses()[0].GetActive())
	require.Empty(t, gossip.DecodeLoads(got.GetLoads()))
}

// FuzzDecodeLoads checks that whatever a datagram contains, the decoded demands are within the
// bounds and are encoded again without a loss of totals.
func FuzzDecodeLoads(f *testing.F) {
	for _, loads := range [][]*wire.ServiceLoad{
		nil,
		gossip.EncodeLoads(map[string]demand.Demand{"chat": manyTeams(420, 12), "small": manyTeams(1, 8)}),
		{{Service: "chat", Classes: []*wire.ClassLoad{{Priority: 10, OfferedMillis: 1}, {Teams: []*wire.TeamLoad{{}}}}}},
		{{Service: "chat", CapacityMillis: math.MaxUint32, Estimates: math.MaxUint32, Waiting: math.MaxUint32}},
	} {
		text, err := proto.Marshal(&wire.Digest{Loads: loads})
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d := new(wire.Digest)
		if proto.Unmarshal(text, d) != nil {
			return
		}
		demands := gossip.DecodeLoads(d.GetLoads())
		require.LessOrEqual(t, len(demands), 64)
		loads := gossip.EncodeLoads(demands)
		_, err := proto.Marshal(&wire.Digest{Loads: loads})
		require.NoError(t, err)
		require.Less(t, proto.Size(&wire.Digest{Loads: loads}), 44<<10)
		again := gossip.DecodeLoads(loads)
		for service, d := range demands {
			require.NotEmpty(t, service)
			require.LessOrEqual(t, len(d.Classes), 20)
			require.False(t, math.IsNaN(d.Capacity()) || math.IsInf(d.Capacity(), 0))
			require.InDelta(t, d.Admitted, again[service].Admitted, 0)
			for class, load := range d.Classes {
				require.True(t, class.Priority >= 0 && class.Priority <= demand.MaxPriority)
				require.LessOrEqual(t, len(load.Teams), demand.MaxTeams)
				require.InDelta(t, load.Offered, again[service].Classes[class].Offered, 0)
				for team, offered := range load.Teams {
					require.NotEmpty(t, team)
					require.True(t, offered > 0 && offered <= load.Offered)
				}
			}
		}
	})
}
