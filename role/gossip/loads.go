package gossip

import (
	"cmp"
	"math"
	"slices"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/demand"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Bounds of the loads of a digest. A digest that exceeds the largest datagram is not sent at all,
// so the loads must leave room for the uses.
const (
	// maxServices is the largest number of services in a digest.
	maxServices = 64
	// maxNameBytes is the length of the longest name of a service or team in a digest.
	maxNameBytes = 128
	// maxServiceTeamBytes bounds the encoded teams of one service so that its load stays under
	// 4 kB: 20 classes without teams and a name of maxNameBytes take 430 bytes.
	maxServiceTeamBytes = 3500
	// maxTeamBytes bounds the encoded teams of all services. With maxServices services the loads
	// then take at most 44 kB, two thirds of a datagram.
	maxTeamBytes = 16 << 10
	// millisPerUnit is one request per second in the unit of the rates in a digest.
	millisPerUnit = 1000
)

// EncodeLoads returns the loads of a digest for demands by service. Services without a valid name
// or without any value are omitted. If there are more than 64 services, those with the least demand
// are omitted, and if the names of teams take too much room, the teams with the least demand of
// each class.
func EncodeLoads(demands map[string]demand.Demand) []*wire.ServiceLoad {
	var loads []*wire.ServiceLoad
	offered := make(map[string]float64, len(demands))
	for service, d := range demands {
		if l := encodeLoad(service, d); l != nil {
			loads = append(loads, l)
			offered[service] = d.Offered()
		}
	}
	slices.SortFunc(loads, func(a, b *wire.ServiceLoad) int {
		return cmp.Or(cmp.Compare(offered[b.GetService()], offered[a.GetService()]), cmp.Compare(a.GetService(), b.GetService()))
	})
	loads = loads[:min(len(loads), maxServices)]
	for _, l := range loads {
		trimTeams(l, min(maxServiceTeamBytes, maxTeamBytes/len(loads)))
	}
	return loads
}

// encodeLoad returns the load of a service, nil if there is nothing to send.
func encodeLoad(service string, d demand.Demand) *wire.ServiceLoad {
	if !validName(service) {
		return nil
	}
	l := &wire.ServiceLoad{
		Service: service, AdmittedMillis: toMillis(d.Admitted), RefusedMillis: toMillis(d.Refused), Waiting: toUint32(d.Waiting),
	}
	l.CapacityMillis, l.Estimates = encodeCapacity(d)
	d = demand.Sum(d) // bounds the number of teams
	for class, load := range d.Classes {
		c := &wire.ClassLoad{Priority: uint32(class.Priority), Returning: class.Returning, OfferedMillis: toMillis(load.Offered)}
		if class.Priority < 0 || class.Priority > demand.MaxPriority || c.GetOfferedMillis() == 0 {
			continue
		}
		for _, team := range load.HeaviestTeams() {
			t := &wire.TeamLoad{Team: team, OfferedMillis: min(toMillis(load.Teams[team]), c.GetOfferedMillis())}
			if validName(team) && t.GetOfferedMillis() > 0 {
				c.Teams = append(c.Teams, t)
			}
		}
		l.Classes = append(l.Classes, c)
	}
	slices.SortFunc(l.Classes, func(a, b *wire.ClassLoad) int {
		return cmp.Or(cmp.Compare(a.GetPriority(), b.GetPriority()), compareBool(a.GetReturning(), b.GetReturning()))
	})
	if len(l.GetClasses()) == 0 && l.GetAdmittedMillis() == 0 && l.GetRefusedMillis() == 0 && l.GetWaiting() == 0 && l.GetEstimates() == 0 {
		return nil
	}
	return l
}

// encodeCapacity returns the sum of the estimates and their number. Their mean is kept if the sum
// exceeds the largest rate in a digest: as many estimates as fit are then reported.
func encodeCapacity(d demand.Demand) (sum, estimates uint32) {
	mean := d.Capacity()
	if !(mean > 0) || d.Estimates < 0 || toMillis(mean) == 0 { // also if it is not a number
		return 0, 0
	}
	n := min(float64(d.Estimates), max(math.Floor(math.MaxUint32/millisPerUnit/mean), 1))
	return toMillis(mean * n), toUint32(n)
}

// trimTeams omits the teams of a load that do not fit into a number of encoded bytes. The teams
// with the most demand of every class are kept before any class keeps more.
func trimTeams(l *wire.ServiceLoad, room int) {
	kept := make([]int, len(l.GetClasses()))
	for rank := range demand.MaxTeams {
		for i, c := range l.GetClasses() {
			if kept[i] < rank || rank >= len(c.GetTeams()) {
				continue
			}
			const framing = 2 // the tag and the length of an entry of under 128 bytes
			size := proto.Size(c.GetTeams()[rank]) + framing
			if size-framing > math.MaxInt8 {
				size++ // the length takes two bytes
			}
			if size <= room {
				room -= size
				kept[i]++
			}
		}
	}
	for i, c := range l.GetClasses() {
		c.Teams = c.GetTeams()[:kept[i]]
	}
}

// DecodeLoads returns the demands by service in the loads of a digest; it is empty for digests of
// former builds. Malformed entries are dropped: empty or too long names, priorities above 9,
// repeated services, classes and teams after the first, classes and teams without demand, and teams
// with more demand than their class. Of a service it takes at most 20 classes and of a class the 8
// teams with the most demand.
func DecodeLoads(loads []*wire.ServiceLoad) map[string]demand.Demand {
	demands := make(map[string]demand.Demand, min(len(loads), maxServices))
	for _, l := range loads {
		if len(demands) == maxServices {
			break
		}
		if _, repeated := demands[l.GetService()]; repeated || !validName(l.GetService()) {
			continue
		}
		demands[l.GetService()] = decodeLoad(l)
	}
	return demands
}

// decodeLoad returns the demand in a load.
func decodeLoad(l *wire.ServiceLoad) demand.Demand {
	d := demand.Demand{
		Admitted: fromMillis(l.GetAdmittedMillis()), Refused: fromMillis(l.GetRefusedMillis()), Waiting: float64(l.GetWaiting()),
		Classes: make(map[demand.Class]demand.Load),
	}
	if l.GetCapacityMillis() > 0 && l.GetEstimates() > 0 { // one without the other would distort the mean
		d.CapacitySum, d.Estimates = fromMillis(l.GetCapacityMillis()), int(l.GetEstimates())
	}
	for _, c := range l.GetClasses() {
		if c.GetPriority() > demand.MaxPriority || c.GetOfferedMillis() == 0 {
			continue
		}
		class := demand.Class{Priority: int(c.GetPriority()), Returning: c.GetReturning()}
		if _, repeated := d.Classes[class]; repeated {
			continue
		}
		load := demand.Load{Offered: fromMillis(c.GetOfferedMillis()), Teams: make(map[string]float64)}
		for _, t := range c.GetTeams() {
			_, repeated := load.Teams[t.GetTeam()]
			if repeated || !validName(t.GetTeam()) || t.GetOfferedMillis() == 0 || t.GetOfferedMillis() > c.GetOfferedMillis() {
				continue
			}
			load.Teams[t.GetTeam()] = fromMillis(t.GetOfferedMillis())
		}
		d.Classes[class] = load
	}
	return demand.Sum(d) // bounds the number of teams
}

// validName reports whether a name may be in a digest. A message with a string that is not UTF-8
// cannot be encoded.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name)
}

// toMillis returns a rate in the unit of digests, the nearest valid one if it is out of range.
func toMillis(perSecond float64) uint32 {
	return toUint32(perSecond * millisPerUnit)
}

// toUint32 returns the nearest number in range, 0 for what is not a number.
func toUint32(x float64) uint32 {
	if math.IsNaN(x) {
		return 0
	}
	return uint32(math.Round(min(max(x, 0), math.MaxUint32)))
}

// fromMillis returns a rate in a digest in requests per second.
func fromMillis(n uint32) float64 {
	return float64(n) / millisPerUnit
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
