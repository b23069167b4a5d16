package gateway

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/failover"
	"github.com/grademill/grademill/decide/health"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/layerreport"
	"github.com/grademill/grademill/decide/liveness"
	"github.com/grademill/grademill/decide/pendingorder"
	"github.com/grademill/grademill/state/budget"
	"github.com/grademill/grademill/state/cell"
	"github.com/grademill/grademill/state/fleetindex"
	"github.com/grademill/grademill/state/intake"
	"github.com/grademill/grademill/state/pace"
	"github.com/grademill/grademill/state/peers"
	"github.com/grademill/grademill/state/presence"
	"github.com/grademill/grademill/state/reporters"
	"github.com/grademill/grademill/state/roster"
	"github.com/grademill/grademill/state/suspects"
)

// fleet is a snapshot of all known endpoints. The usage of its backends changes.
type fleet = fleetindex.Index[*backend]

// newFleet returns a fleet of the given backends.
func newFleet(all []*backend) *fleet {
	return fleetindex.New(all, func(b *backend) *roster.Record { return &b.Record })
}

// backend is an endpoint with its usage.
type backend struct {
	roster.Record
	use *usage
}

// among reports whether the endpoint is one of a list, perhaps by another record.
func (b *backend) among(list []*backend) bool {
	return slices.ContainsFunc(list, func(other *backend) bool { return other.use == b.use })
}

// usage is what this gateway knows of an endpoint beyond its record. It survives changes of the
// record. All fields are safe for concurrent use.
type usage struct {
	presence.Presence
	// active is the number of requests of this gateway that the endpoint runs, held the memory that
	// they need, in tokens times layers.
	active, held atomic.Int64
	// entered is the number of those whose chain begins there, which take its slots, othersEntered
	// that of the other gateways.
	entered, othersEntered atomic.Int64
	// reading is the number of requests of this gateway whose prompt it reads, othersReading that
	// of the other gateways.
	reading, othersReading atomic.Int64
	// othersActive and othersHeld are the corresponding values of the other gateways.
	othersActive, othersHeld atomic.Int64
	// pace is how slow it is, by its latest report.
	pace pace.Pace
	// noRoomUntil is until when it is avoided after it refused for lack of room, in nanoseconds of
	// Unix time.
	noRoomUntil atomic.Int64
	// begun are the requests that it had just started when it was found silent, nil once it is
	// known whether it has ended.
	begun atomic.Pointer[[]suspects.Begun]
	// ended is set while its process has certainly ended: its host refuses connections to it, or
	// another incarnation has taken its place.
	ended atomic.Bool
	// checking is set while it is checked, recheckingStarved while it is checked repeatedly because
	// this process was starved of processor time.
	checking, recheckingStarved atomic.Bool
	// answeredAt is when it last answered a request, in nanoseconds of Unix time.
	answeredAt atomic.Int64
	// checkBegunAt is when the last finished check of a plain endpoint began, in the same unit.
	checkBegunAt atomic.Int64
	// layerreport is what it reports to hold while its record differs, nil for none.
	layerreport atomic.Pointer[layerreport.Report]
	// pendingOrder is the order that it carries out, nil for none known.
	pendingOrder atomic.Pointer[pendingorder.Order]
	// watchers watch the streams that pass through it.
	watchers watchers
	// waiting is the number of queued requests that it last reported, loadReportedAt when it did,
	// in nanoseconds of Unix time.
	waiting, loadReportedAt atomic.Int64
	health                  cell.Cell[health.Record]
	// budget is this gateway's share of its free room.
	budget budget.Room
	// intake holds the limit and backoff period that it has asked for.
	intake intake.Intake
}

// newUsage returns the usage of an endpoint that is not used yet.
func newUsage() *usage {
	return &usage{Presence: presence.Presence{Reporters: reporters.Reporters{ReportLifetime: liveness.ReportFresh}}}
}

// Count adds the share of another gateway at the endpoint.
func (u *usage) Count(s peers.Usage) {
	u.othersActive.Add(s.Active)
	u.othersEntered.Add(s.Entered)
	u.othersHeld.Add(s.Held)
	u.othersReading.Add(s.Reading)
	u.OthersDown.Add(s.Down)
}

// elapsed returns the time from at, in nanoseconds of Unix time, to now.
func elapsed(now time.Time, at *atomic.Int64) time.Duration {
	return time.Duration(now.UnixNano() - at.Load())
}

// paceFresh is how long the reported pace of an endpoint counts: it is asked several times
// meanwhile.
const paceFresh = 3 * surveyEvery

// slowness returns how slow the endpoint is at now, in thousandths of the time of its kind.
func (u *usage) slowness(now time.Time) int64 {
	return u.pace.Thousandths(now, paceFresh)
}

// orderedLayers returns the layers of the order that the endpoint carries out at now, empty for
// none.
func (u *usage) orderedLayers(now time.Time) layer.Range {
	return u.pendingOrder.Load().Layers(now)
}

// setOrdered records the order that the leader reports for the endpoint, empty layers for none.
func (u *usage) setOrdered(layers layer.Range, now time.Time) {
	u.pendingOrder.Store(pendingorder.Announced(layers, now))
}

// avoided reports whether new requests avoid the endpoint at now.
func (u *usage) avoided(now time.Time) bool {
	return u.PresumedDead(now) || u.ReportedDown(now) || now.UnixNano() < u.noRoomUntil.Load() || u.health.Load().Avoided(now)
}

// markDown records at now that the endpoint does not answer, and whether it has certainly ended.
func (u *usage) markDown(now time.Time, ended bool) {
	u.MarkDown(now)
	u.ended.Store(ended)
}

// fleetFactor returns the ratio of the requests of all gateways at the endpoint to those of this
// gateway. When the endpoint is lost they are all moved at once, and each gateway sees only its
// own.
func (u *usage) fleetFactor() float64 {
	return failover.FleetFactor(u.active.Load(), u.othersActive.Load())
}

// take and release count a request that needs the given memory.
func (u *usage) take(memory int64) {
	u.active.Add(1)
	u.held.Add(memory)
}

func (u *usage) release(memory int64) {
	u.active.Add(-1)
	u.held.Add(-memory)
}
