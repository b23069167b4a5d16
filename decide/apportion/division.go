// Package apportion divides a limit that holds for all gateways together among them, without a
// coordinator: each works its own part out from what the others have last said.
package apportion

import (
	"slices"

	"github.com/grademill/grademill/decide/rendezvous"
)

const (
	// DefaultEven is the part of a limit that is divided evenly: who has wanted nothing until now
	// can begin at once.
	DefaultEven = 0.1
	// spotsPerSecond and spareSpots bound the gateways that have a part, by the limit: each may save
	// up one request, or what its part allows within throttle.BurstSpan. When all use at once what
	// they have saved, the endpoint gets twice what the limit allows within a second, and three
	// requests more.
	spotsPerSecond = 1
	spareSpots     = 3
)

// Claim is what one gateway, or those of another hall together, want.
type Claim struct {
	// Name is that of the gateway, empty for those of a hall.
	Name string
	// Members is the number of gateways, 1 for a gateway.
	Members int
	// Wanted is the number of requests a second.
	Wanted float64
}

// Division is a limit to be divided, as one gateway sees it.
type Division struct {
	// Key names what the limit is of. Gateways that have no part are different ones for each.
	Key string
	// Limit is in requests a second.
	Limit float64
	// Fleet is the number of gateways, Own included. Those that are not heard of keep an even
	// part: they may be cut off from this gateway alone.
	Fleet int
	// Own is the claim of the gateway itself, Near are those of the gateways that it hears of
	// one by one, and Far those of other halls.
	Own       Claim
	Near, Far []Claim
	// Even is the part of the limit that is divided evenly, from 0 to 1; the rest goes by what
	// is wanted.
	Even float64
}

// Share returns the part of the gateway itself, in requests a second. Where the near gateways are
// more than can have a part that is of use, it is 0 for most of them.
func (d Division) Share() float64 {
	heard, wanted := d.Own.Members, d.Own.Wanted
	for _, c := range slices.Concat(d.Near, d.Far) {
		heard += c.Members
		wanted += c.Wanted
	}
	fleet := float64(max(d.Fleet, heard))
	part := func(c Claim) float64 {
		even := float64(c.Members) / fleet
		if wanted <= 0 {
			return even
		}
		return d.Even*even + (1-d.Even)*c.Wanted/wanted*float64(heard)/fleet
	}
	near := part(d.Own)
	for _, c := range d.Near {
		near += part(c)
	}
	spots := max(int((d.Limit*spotsPerSecond+spareSpots)*near), 1)
	if len(d.Near) < spots {
		return d.Limit * part(d.Own)
	}
	holders := d.holders(spots)
	if !slices.Contains(holders, d.Own.Name) {
		return 0
	}
	held := part(d.Own)
	for _, c := range d.Near {
		if slices.Contains(holders, c.Name) {
			held += part(c)
		}
	}
	return d.Limit * near * part(d.Own) / held
}

// holders returns the near gateways that have a part where there are only so many, the gateway
// itself included: those that want one first.
func (d Division) holders(spots int) []string {
	var wanting, others []string
	for _, c := range append([]Claim{d.Own}, d.Near...) {
		if c.Wanted > 0 && d.Even < 1 {
			wanting = append(wanting, c.Name)
		} else {
			others = append(others, c.Name)
		}
	}
	list := rendezvous.Top(d.Key, wanting, spots)
	return append(list, rendezvous.Top(d.Key, others, spots-len(list))...)
}
