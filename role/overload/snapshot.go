package overload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/shedding"
)

// Snapshot is the state of the overload control of a gateway as of its last update, for operators.
// All rates are in requests per second.
type Snapshot struct {
	// Admission is set if the gateway sheds requests. Without it the levels are only computed.
	Admission bool `json:"fleet_admission"`
	// Services are in the order of their names.
	Services []ServiceSnapshot `json:"services"`
}

// ServiceSnapshot is the state of one model service.
type ServiceSnapshot struct {
	Service string `json:"service"`
	// Isolated is set while the gateway hears no other one although there are some.
	Isolated bool `json:"isolated"`
	// ReportAge is the age of the newest load report of another gateway in milliseconds, nil without one.
	ReportAge *float64 `json:"report_age_ms,omitempty"`
	// Capacity is the estimated capacity of the fleet, 0 while it is unknown, that is, no limit.
	Capacity float64       `json:"capacity_per_s"`
	Level    LevelSnapshot `json:"level"`
	// Fleet is the demand at all gateways, Own that at this one.
	Fleet DemandSnapshot `json:"fleet"`
	Own   DemandSnapshot `json:"own"`
	// RoomShares are this gateway's shares of the room of the endpoints, by hall: of the free room, or of
	// the whole room while it is isolated.
	RoomShares   map[string]float64  `json:"room_shares"`
	Appointments AppointmentSnapshot `json:"appointments"`
}

// LevelSnapshot states whether requests are shed. The shares of the classes are in ClassSnapshot.
type LevelSnapshot struct {
	Open bool `json:"open"`
	// Marginal is the most urgent class that is not admitted as a whole, nil while the level is open.
	Marginal *MarginalSnapshot `json:"marginal,omitempty"`
}

// MarginalSnapshot is the marginal class and the share of its requests in the whole fleet that is
// admitted.
type MarginalSnapshot struct {
	Priority  int     `json:"priority"`
	Returning bool    `json:"returning"`
	Share     float64 `json:"admit_share"`
}

// DemandSnapshot is the demand for a service.
type DemandSnapshot struct {
	Offered  float64 `json:"offered_per_s"`
	Admitted float64 `json:"admitted_per_s"`
	Refused  float64 `json:"refused_per_s"`
	Waiting  int     `json:"waiting"`
	// Classes are in the order of priority, new requests before returning callers.
	Classes []ClassSnapshot `json:"classes"`
}

// ClassSnapshot is the demand of a class and the share of it that the level admits.
type ClassSnapshot struct {
	Priority  int     `json:"priority"`
	Returning bool    `json:"returning"`
	Offered   float64 `json:"offered_per_s"`
	Share     float64 `json:"admit_share"`
	// EarlyShare is the share of returning callers that have not kept their delay, nil for new requests.
	EarlyShare *float64 `json:"admit_share_early,omitempty"`
	// Teams are the teams with the most demand, in descending order.
	Teams []TeamSnapshot `json:"teams,omitempty"`
}

// TeamSnapshot is the demand of a team in a class and the share of it that the level admits.
type TeamSnapshot struct {
	Team    string  `json:"team"`
	Offered float64 `json:"offered_per_s"`
	Share   float64 `json:"admit_share"`
}

// AppointmentSnapshot states from what the Retry-After delays are computed.
type AppointmentSnapshot struct {
	// Room is the rate at which the fleet has room for returning callers, 0 while the capacity is unknown.
	Room float64 `json:"room_per_s"`
	// Part is this gateway's part of the fleet's refusals, and so of that room.
	Part float64 `json:"part"`
	// Position is the position of this gateway among all, from 0 to 1.
	Position float64 `json:"position"`
}

// Snapshot returns the state as of the last update.
func (c *Control) Snapshot() Snapshot {
	services := c.all()
	snapshot := Snapshot{Admission: c.Admission, Services: make([]ServiceSnapshot, 0, len(services))}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		snapshot.Services = append(snapshot.Services, services[name].snapshot(name, c.Policy.ReturnShare))
	}
	return snapshot
}

// snapshot returns the state of the service. returnShare is the part of the capacity that is reserved
// for returning callers.
func (s *service) snapshot(name string, returnShare float64) ServiceSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	capacity := s.capacity()
	view := ServiceSnapshot{
		Service: name, Isolated: s.alone, Capacity: round(capacity), Level: LevelSnapshot{Open: s.level.Open()},
		Fleet: demandSnapshot(s.fleet, s.level), Own: demandSnapshot(s.latest, s.level),
		RoomShares:   make(map[string]float64, len(s.shares)),
		Appointments: AppointmentSnapshot{Part: roundShare(s.refusedPart), Position: roundShare(s.position)},
	}
	if s.age < unknownAge {
		age := float64(s.age.Milliseconds())
		view.ReportAge = &age
	}
	if !s.level.Open() {
		m := s.level.Marginal()
		view.Level.Marginal = &MarginalSnapshot{
			Priority: m.Priority, Returning: m.Returning, Share: roundShare(classShare(s.level, m, s.fleet.Classes[m])),
		}
	}
	if capacity > 0 {
		view.Appointments.Room = round(max(returnShare*capacity, capacity-offeredNew(s.fleet)))
	}
	for hall, share := range s.shares {
		view.RoomShares[hall] = roundShare(share)
	}
	return view
}

// demandSnapshot returns a demand with the shares of it that a level admits.
func demandSnapshot(d demand.Demand, level shedding.Level) DemandSnapshot {
	view := DemandSnapshot{
		Offered: round(d.Offered()), Admitted: round(d.Admitted), Refused: round(d.Refused),
		Waiting: int(math.Round(d.Waiting)), Classes: make([]ClassSnapshot, 0, len(d.Classes)),
	}
	for class, load := range d.Classes {
		item := ClassSnapshot{
			Priority: class.Priority, Returning: class.Returning, Offered: round(load.Offered),
			Share: roundShare(classShare(level, class, load)),
		}
		if class.Returning {
			early := roundShare(level.AdmitEarly(class))
			item.EarlyShare = &early
		}
		for _, team := range load.HeaviestTeams() {
			item.Teams = append(item.Teams, TeamSnapshot{
				Team: team, Offered: round(load.Teams[team]), Share: roundShare(level.Admit(class, team)),
			})
		}
		view.Classes = append(view.Classes, item)
	}
	slices.SortFunc(view.Classes, func(a, b ClassSnapshot) int {
		if a.Returning != b.Returning {
			if b.Returning {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Priority, b.Priority)
	})
	return view
}

// classShare returns the share of the requests of a class that a level admits, over all teams.
func classShare(level shedding.Level, class demand.Class, load demand.Load) float64 {
	unnamed := level.Admit(class, "")
	if load.Offered <= 0 {
		return unnamed
	}
	rest, admitted := load.Offered, 0.0
	for team, offered := range load.Teams {
		rest -= offered
		admitted += offered * level.Admit(class, team)
	}
	return min((admitted+max(rest, 0)*unnamed)/load.Offered, 1)
}

// roundShare rounds a share for operators. A share of nothing, which is not a number, becomes 0: JSON
// cannot express it.
func roundShare(x float64) float64 {
	if math.IsNaN(x) {
		return 0
	}
	return math.Round(x*1000) / 1000
}

// unknownAge is the age from which on the newest report of another gateway counts as missing.
const unknownAge = time.Hour
