// Package throttling heeds what endpoints say of the requests that they take: it works this gateway's
// part of a limit out, exchanges words on limits with the other gateways, and logs what changes.
package throttling

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/apportion"
	"github.com/grademill/grademill/decide/throttle"
	"github.com/grademill/grademill/state/intake"
	"github.com/grademill/grademill/state/peers"
	"github.com/grademill/grademill/wire/gossip"
)

const (
	// limitChange is the part by which a limit must change for the log to tell of it: some endpoints
	// name another one with each answer.
	limitChange = 0.1
	// limitUnit is a limit of one request a second, as digests tell it.
	limitUnit = 1000
	// maxTold is the largest limit that is told of, in requests a second: nothing reaches it.
	maxTold = 1e6
	// settleDigests is the number of digests after which all gateways know of a demand.
	settleDigests = 2
)

// Throttling heeds the words of all endpoints. Set the exported fields before the first use. It is safe
// for concurrent use.
type Throttling struct {
	// Name is that of the gateway.
	Name string
	// Peers are the other gateways.
	Peers *peers.Table
	// Every returns the time between two digests.
	Every func() time.Duration
	// Left is told of an endpoint that has said that it leaves.
	Left func(endpoint string)
	Log  zerolog.Logger
}

// Hear takes in what an endpoint says with an answer.
func (t *Throttling) Hear(endpoint string, i *intake.Intake, w throttle.Word) {
	before, after := i.Hear(w)
	if after.Unclear() && !before.Unclear() { // once is enough: it may come with each answer
		t.Log.Warn().Str("endpoint", endpoint).Str("header", w.Unclear).Msg("a header of an endpoint is not understood, and not heeded")
	}
	if w.Rest > 0 {
		t.Log.Info().Str("endpoint", endpoint).Dur("rest_ms", w.Rest).Time("until", after.Rest()).Msg("endpoint asks for rest")
	}
	t.changed(endpoint, i, before, after, w.Heard)
}

// HearOthers takes in what another gateway, or one that speaks for a hall, says of an endpoint's limit.
func (t *Throttling) HearOthers(endpoint string, i *intake.Intake, use *gossip.Use, forHall bool, now time.Time) {
	age := use.GetLimitAgeMillis()
	if age == 0 {
		return
	}
	limit := throttle.Limit{
		Rate: float64(use.GetLimitMillis()) / limitUnit, At: now.Add(-time.Duration(age-1) * time.Millisecond),
		Relays: relays(forHall) + 1,
	}
	before, after := i.Told(limit, now)
	t.changed(endpoint, i, before, after, now)
}

// Tell adds to a use what other gateways need to know of the endpoint's limit, and what this one wants
// of it with what the given others do.
func (t *Throttling) Tell(use *gossip.Use, i *intake.Intake, others peers.Share, forHall bool, now time.Time) {
	known := i.Load()
	use.WantedMillis = uint32(max(others.Wanted+int64(known.Demand(now)*peers.WantedUnit), 0))
	limit := known.Limit()
	if !known.Tells(now) || limit.Relays > relays(forHall) {
		return
	}
	use.LimitMillis = uint32(min(limit.Rate, maxTold) * limitUnit)
	use.LimitAgeMillis = uint32(max(now.Sub(limit.At), 0).Milliseconds()) + 1
}

// relays returns through how many gateways a word may have come that is told: none but, for all of a
// hall, one of its own. A word that was told on further would come back as a newer one, and never end.
func relays(forHall bool) int {
	if forHall {
		return 1
	}
	return 0
}

// Divide works this gateway's part of an endpoint's limit out anew, where it wants one: what others
// want changes with each digest.
func (t *Throttling) Divide(endpoint string, i *intake.Intake, now time.Time) {
	if i.Silent() {
		return // nearly every endpoint
	}
	if i.Load().Demand(now) > 0 {
		t.divide(endpoint, i, now)
	}
}

// divide works this gateway's part of an endpoint's limit out, and returns it.
func (t *Throttling) divide(endpoint string, i *intake.Intake, now time.Time) float64 {
	known := i.Load()
	near, far := t.Peers.Claims(endpoint)
	own := known.Claim(now, settleDigests*t.Every())
	share := apportion.Division{
		Key: endpoint, Limit: known.Limit().Rate, Fleet: t.Peers.Size(), Near: near, Far: far, Even: apportion.DefaultEven,
		Own: apportion.Claim{Name: t.Name, Members: 1, Wanted: own},
	}.Share()
	i.Divide(share, now)
	return share
}

// changed works this gateway's part out of a limit that is new, and logs what has changed.
func (t *Throttling) changed(endpoint string, i *intake.Intake, before, after throttle.Throttle, now time.Time) {
	if after.Held(now) == throttle.Leaving && before.Held(now) != throttle.Leaving {
		t.Log.Info().Str("endpoint", endpoint).Msg("endpoint says that it leaves")
		t.Left(endpoint)
	}
	from, to := before.Limit(), after.Limit()
	if from == to {
		return
	}
	share := 0.0
	if to.Named() {
		share = t.divide(endpoint, i, now)
	}
	if from.Named() == to.Named() && max(from.Rate, to.Rate) <= min(from.Rate, to.Rate)*(1+limitChange) {
		return
	}
	t.Log.Info().Str("endpoint", endpoint).Float64("limit_per_s", to.Rate).Float64("former_per_s", from.Rate).
		Float64("share_per_s", share).Dur("age_ms", now.Sub(to.At)).Int("relays", to.Relays).Msg("endpoint changes its limit")
}
