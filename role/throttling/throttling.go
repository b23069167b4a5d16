// Package throttling applies the rate limits and backoff periods that endpoints ask for in their answers.
// It computes this gateway's share of each limit, exchanges limits and demand with the other gateways, and
// logs changes.
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
	// minLoggedChange is the smallest relative change of a limit that is logged: some endpoints send a
	// slightly different limit with each answer.
	minLoggedChange = 0.1
	// limitUnit converts requests per second to the unit of digests, thousandths of a request per second.
	limitUnit = 1000
	// maxReportedLimit is the largest limit in a digest, in requests per second. No endpoint reaches it.
	maxReportedLimit = 1e6
	// propagationDigests is the number of digests after which all gateways know of a demand.
	propagationDigests = 2
)

// Throttling tracks the limits and backoff periods of all endpoints. Set the exported fields before the
// first use. It is safe for concurrent use.
type Throttling struct {
	// Name is the name of this gateway.
	Name string
	// Peers holds the other gateways.
	Peers *peers.Table
	// DigestInterval returns the interval between digests.
	DigestInterval func() time.Duration
	// OnLeaving is called when an endpoint announces that it is leaving.
	OnLeaving func(endpoint string)
	Log       zerolog.Logger
}

// ApplyAnnouncement processes the limit, backoff period and departure that an endpoint sent with an answer.
func (t *Throttling) ApplyAnnouncement(endpoint string, i *intake.Intake, w throttle.Report) {
	before, after := i.ApplyAnnouncement(w)
	if after.Unreadable() && !before.Unreadable() { // log once: the header may come with each answer
		t.Log.Warn().Str("endpoint", endpoint).Str("header", w.Unreadable).Msg("a header of an endpoint is not understood, and not heeded")
	}
	if w.RetryAfter > 0 {
		t.Log.Info().Str("endpoint", endpoint).Dur("rest_ms", w.RetryAfter).Time("until", after.RetryAfter()).Msg("endpoint asks for rest")
	}
	t.applyChange(endpoint, i, before, after, w.Received)
}

// HearReport processes an endpoint's limit as reported by another gateway, or by one that reports for a hall.
func (t *Throttling) HearReport(endpoint string, i *intake.Intake, use *gossip.Use, forHall bool, now time.Time) {
	age := use.GetLimitAgeMillis()
	if age == 0 {
		return
	}
	limit := throttle.Limit{
		Rate: float64(use.GetLimitMillis()) / limitUnit, At: now.Add(-time.Duration(age-1) * time.Millisecond),
		Relays: maxRelays(forHall) + 1,
	}
	before, after := i.ApplyReport(limit, now)
	t.applyChange(endpoint, i, before, after, now)
}

// AddToDigest adds to use what other gateways need to know of the endpoint's limit, and the sum of this
// gateway's demand and the demand in others.
func (t *Throttling) AddToDigest(use *gossip.Use, i *intake.Intake, others peers.Usage, forHall bool, now time.Time) {
	known := i.Load()
	use.WantedMillis = uint32(max(others.Wanted+int64(known.Demand(now)*peers.WantedUnit), 0))
	limit := known.Limit()
	if !known.ReportsLimit(now) || limit.Relays > maxRelays(forHall) {
		return
	}
	use.LimitMillis = uint32(min(limit.Rate, maxReportedLimit) * limitUnit)
	use.LimitAgeMillis = uint32(max(now.Sub(limit.At), 0).Milliseconds()) + 1
}

// maxRelays returns how many gateways may have relayed a limit that is still reported: none, or one of the
// same hall in a report for a hall. Relayed without this bound, a limit would come back as a newer one and
// circulate forever.
func maxRelays(forHall bool) int {
	if forHall {
		return 1
	}
	return 0
}

// UpdateShare recomputes this gateway's share of an endpoint's limit if it has demand there: the demand of
// the others changes with each digest.
func (t *Throttling) UpdateShare(endpoint string, i *intake.Intake, now time.Time) {
	if i.NeverAnnounced() {
		return // most endpoints state no limit
	}
	if i.Load().Demand(now) > 0 {
		t.divide(endpoint, i, now)
	}
}

// divide computes and returns this gateway's share of an endpoint's limit.
func (t *Throttling) divide(endpoint string, i *intake.Intake, now time.Time) float64 {
	known := i.Load()
	near, far := t.Peers.Demands(endpoint)
	own := known.Claim(now, propagationDigests*t.DigestInterval())
	share := apportion.Division{
		Key: endpoint, Limit: known.Limit().Rate, Fleet: t.Peers.Size(), Individual: near, HallSums: far, EvenShare: apportion.DefaultEvenShare,
		Own: apportion.Claim{Name: t.Name, Members: 1, Wanted: own},
	}.Share()
	i.SetShare(share, now)
	return share
}

// applyChange recomputes this gateway's share after a limit has changed, and logs the change.
func (t *Throttling) applyChange(endpoint string, i *intake.Intake, before, after throttle.Throttle, now time.Time) {
	if after.Held(now) == throttle.Leaving && before.Held(now) != throttle.Leaving {
		t.Log.Info().Str("endpoint", endpoint).Msg("endpoint says that it leaves")
		t.OnLeaving(endpoint)
	}
	from, to := before.Limit(), after.Limit()
	if from == to {
		return
	}
	share := 0.0
	if to.Named() {
		share = t.divide(endpoint, i, now)
	}
	if from.Named() == to.Named() && max(from.Rate, to.Rate) <= min(from.Rate, to.Rate)*(1+minLoggedChange) {
		return
	}
	t.Log.Info().Str("endpoint", endpoint).Float64("limit_per_s", to.Rate).Float64("former_per_s", from.Rate).
		Float64("share_per_s", share).Dur("age_ms", now.Sub(to.At)).Int("relays", to.Relays).Msg("endpoint changes its limit")
}
