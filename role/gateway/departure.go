package gateway

import (
	"time"

	"github.com/grademill/grademill/decide/departure"
	"github.com/grademill/grademill/state/roster"
	"github.com/grademill/grademill/wire/gossip"
)

// tellDepartures adds to a digest the endpoints that have left.
func (g *Gateway) tellDepartures(d *gossip.Digest, now time.Time) {
	for _, n := range g.members.roster.Told(now) {
		d.Departures = append(d.Departures, &gossip.Departure{
			Endpoint: n.Endpoint, Born: n.Born, Announced: n.Announced, Revision: n.Revision, AgeMillis: uint32(n.Age.Milliseconds()),
		})
	}
}

// hearLeaving takes in that an endpoint has said by itself that it leaves, and has others know.
func (g *Gateway) hearLeaving(endpoint string) {
	b := g.fleet.Load().byID[endpoint]
	if b == nil {
		return // its record has gone meanwhile
	}
	g.members.roster.Adopt(roster.News{Departure: departure.Departure{Endpoint: b.ID, Born: b.Born, Announced: true}}, time.Now())
	g.rebuild()
}

// hearDepartures takes in the endpoints that have left by the word of another gateway: this one's copy of
// the store may be behind. One gateway is enough, since it tells what the store holds and not what
// it concludes.
func (g *Gateway) hearDepartures(d *gossip.Digest, now time.Time) {
	news := false
	for _, told := range d.GetDepartures() {
		n := roster.News{
			Departure: departure.Departure{
				Endpoint: told.GetEndpoint(), Born: told.GetBorn(), Announced: told.GetAnnounced(), Revision: told.GetRevision(),
			},
			Age: time.Duration(told.GetAgeMillis()) * time.Millisecond,
		}
		if r, overruled := g.members.roster.Adopt(n, now); overruled {
			news = true
			g.Log.Info().Str("endpoint", n.Endpoint).Str("gateway", d.GetGateway()).Int64("born", n.Born).Bool("announced", n.Announced).
				Uint64("revision", n.Revision).Dur("age_ms", n.Age).Uint64("record_revision", r.Revision).
				Dur("record_age_ms", now.Sub(r.Since)).Msg("endpoint has left by the word of another gateway")
		}
	}
	if news && g.loaded.Load() {
		g.rebuild()
	}
}
