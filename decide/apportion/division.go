// Package apportion divides a limit that holds for all gateways together among them without a
// coordinator: each gateway computes its own share from the latest reports of the others.
package apportion

import (
	"slices"

	"github.com/grademill/grademill/decide/rendezvous"
)

const (
	// DefaultEvenShare is the fraction of a limit that is divided evenly, so that a gateway without
	// demand until now can start at once.
	DefaultEvenShare = 0.1
	// holdersPerLimit and spareHolders bound the number of gateways with a share, in proportion to
	// the limit: each may accumulate one request, or its share over throttle.BurstSpan. If all of
	// them spend their tokens at once, the endpoint gets at most twice the limit within a second,
	// and three requests more.
	holdersPerLimit = 1
	spareHolders    = 3
)

// Claim is the demand of one gateway, or of all gateways of another hall together.
type Claim struct {
	// Name is the gateway's name, empty for a hall.
	Name string
	// Members is the number of gateways, 1 for a single gateway.
	Members int
	// Wanted is the demand in requests per second.
	Wanted float64
}

// Division is one gateway's view of a limit and of the gateways that share it.
type Division struct {
	// Key identifies what is limited, such as an endpoint. It determines which gateways go without
	// a share.
	Key string
	// Limit is in requests per second.
	Limit float64
	// Fleet is the number of gateways, Own included. An even share is set aside for each gateway
	// without a report, because it may be cut off from this gateway alone.
	Fleet int
	// Own is this gateway's claim, Individual holds those of the gateways that report to it one by
	// one, and HallSums those of other halls.
	Own                  Claim
	Individual, HallSums []Claim
	// EvenShare is the fraction of the limit that is divided evenly, from 0 to 1. The rest is
	// divided in proportion to demand.
	EvenShare float64
}

// Share returns this gateway's share in requests per second. If there are more near gateways than
// can have a usable share, most of them get 0.
func (d Division) Share() float64 {
	reporting, wanted := d.Own.Members, d.Own.Wanted
	for _, c := range slices.Concat(d.Individual, d.HallSums) {
		reporting += c.Members
		wanted += c.Wanted
	}
	fleet := float64(max(d.Fleet, reporting))
	shareOf := func(c Claim) float64 {
		even := float64(c.Members) / fleet
		if wanted <= 0 {
			return even
		}
		return d.EvenShare*even + (1-d.EvenShare)*c.Wanted/wanted*float64(reporting)/fleet
	}
	near := shareOf(d.Own)
	for _, c := range d.Individual {
		near += shareOf(c)
	}
	maxHolders := max(int((d.Limit*holdersPerLimit+spareHolders)*near), 1)
	if len(d.Individual) < maxHolders {
		return d.Limit * shareOf(d.Own)
	}
	holders := d.holders(maxHolders)
	if !slices.Contains(holders, d.Own.Name) {
		return 0
	}
	holdersShare := shareOf(d.Own)
	for _, c := range d.Individual {
		if slices.Contains(holders, c.Name) {
			holdersShare += shareOf(c)
		}
	}
	return d.Limit * near * shareOf(d.Own) / holdersShare
}

// holders returns the n near gateways that have a share, among them possibly this one. Gateways
// with demand come first.
func (d Division) holders(n int) []string {
	var wanting, others []string
	for _, c := range append([]Claim{d.Own}, d.Individual...) {
		if c.Wanted > 0 && d.EvenShare < 1 {
			wanting = append(wanting, c.Name)
		} else {
			others = append(others, c.Name)
		}
	}
	list := rendezvous.Top(d.Key, wanting, n)
	return append(list, rendezvous.Top(d.Key, others, n-len(list))...)
}
