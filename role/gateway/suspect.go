package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/adapter/probe"
	"github.com/grademill/grademill/decide/backoff"
	"github.com/grademill/grademill/decide/endpoint"
	"github.com/grademill/grademill/port/runner"
)

// The figures of checking whether an endpoint lives.
const (
	// passedFresh is how recent an event that came through an endpoint must be to
	// show that it lives: the usual time between two events of a stream.
	passedFresh = 50 * time.Millisecond
	// checkedFresh is how long a check that was passed counts, where nothing but a
	// late event speaks against the endpoint: a check costs as much as a hundredth
	// of a request.
	checkedFresh = 800 * time.Millisecond
	// checkTurn is how much longer the check of another gateway counts for each one that
	// comes before this one in looking after the endpoint: the time between two digests.
	checkTurn = 150 * time.Millisecond
	// checkersEach is the number of gateways that look after an endpoint: one may be
	// cut off.
	checkersEach = 2
	// strayEvery is the longest time between two checks of an endpoint that is down of a
	// gateway that does not look after it.
	strayEvery = 3 * time.Second
	// reviveEvery is the time between two checks of an endpoint that is down.
	reviveEvery = 400 * time.Millisecond
	// endedAfter is how long an endpoint must have given no answer to count as ended:
	// a process that was paused, or a connection that lost packets, is back sooner.
	endedAfter = 700 * time.Millisecond
	// toldEnough is how long an endpoint is taken for dead by the word of others before
	// this gateway asks it: the record of one that has ended lapses in about four.
	toldEnough = 1200 * time.Millisecond
	// contradicts is how long the answer of an endpoint counts against their word.
	contradicts = 3 * time.Second
	// verifyPoll is how often the end of another's check is looked for: a check of an
	// endpoint that lives takes a few milliseconds.
	verifyPoll = 2 * time.Millisecond
	// wordFresh is how long the word of another gateway counts, and for how long after
	// a check without an answer an endpoint is said to be down: several digests.
	wordFresh = time.Second
)

// The results of checks, as the metrics name them.
const (
	checkPassed  = "passed"
	checkSilent  = "silent"
	checkHeldUp  = "held up"
	checkRevived = "revived"
	// checkAnother is a check that another life of the endpoint answered.
	checkAnother = "another life"
	// checkStillSilent is a check of an endpoint that is down already.
	checkStillSilent = "still silent"
)

// suspect has an endpoint checked, in the background and once at a time, and again while this
// process is held up. Streams through one that does not answer are moved at once: a report of the
// endpoints before it tells of it only some 200 ms later.
func (g *Gateway) suspect(b *backend) {
	if b.use.down() || !b.use.checking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		begun := time.Now()
		known := g.check(b)
		b.use.checking.Store(false)
		if !known {
			g.recheckHeldUp(b, begun)
		}
	}()
}

// heldUpWait is the time between two checks of an endpoint while this process is held up. It grows,
// since checks hold the process up further.
var heldUpWait = backoff.Backoff{Base: 250 * time.Millisecond, Max: time.Second}

// recheckHeldUp checks an endpoint again that could not be judged, until it can be, an event has come
// through it since a time, or its record has gone.
func (g *Gateway) recheckHeldUp(b *backend, since time.Time) {
	if !b.use.heldUp.CompareAndSwap(false, true) {
		return // these checks are under way
	}
	defer b.use.heldUp.Store(false)
	for checks := 1; g.current(b); checks++ {
		pause.For(context.Background(), heldUpWait.Delay(checks, 0))
		if b.use.down() || b.use.eventAt.Load() > since.UnixNano() {
			return
		}
		if !b.use.checking.CompareAndSwap(false, true) {
			continue // another check is under way
		}
		known := g.check(b)
		b.use.checking.Store(false)
		if known {
			return
		}
	}
}

// current reports whether the life of an endpoint is the one that its record tells of.
func (g *Gateway) current(b *backend) bool {
	now := g.fleet.Load().byID[b.ID]
	return now != nil && now.use == b.use
}

// verify checks an endpoint that has broken off an answer, and returns once it is known
// whether it has ended: what has ended does not count as a try of the request.
func (g *Gateway) verify(ctx context.Context, b *backend) {
	broken := time.Now()
	for !b.use.checking.CompareAndSwap(false, true) {
		if ctx.Err() != nil || b.use.down() {
			return
		}
		pause.For(ctx, verifyPoll)
	}
	defer b.use.checking.Store(false)
	if !b.use.down() {
		g.checkSince(b, broken)
	}
}

// doubt has an endpoint checked through which an event is late, unless one has
// just come through it, or a check was passed.
func (g *Gateway) doubt(b *backend, now time.Time) {
	if b.use.passed(now) || now.UnixNano()-b.use.checkedAt.Load() < int64(checkedFresh) {
		return
	}
	g.suspect(b)
}

// doubtRefused does the same for an endpoint that a refusal names, of a request that was
// sent at a time: it has no room, or has ended. One that lacks the layers of its record is
// checked in any case, unless it has been since.
func (g *Gateway) doubtRefused(b *backend, misdirected bool, sent time.Time) {
	if misdirected && b.use.checkedAt.Load() < sent.UnixNano() {
		g.suspect(b)
		return
	}
	g.doubt(b, time.Now())
}

// doubtBehind does the same for an endpoint that this gateway reaches only through
// another one, where a check that another gateway passed says as much as one of its own.
// Of the gateways that use a slow endpoint one checks it first, and the others only when
// they hear nothing of that.
func (g *Gateway) doubtBehind(b *backend, now time.Time) {
	turn := time.Duration(g.gossip.Overlay().Rank(b.ID, b.Hall)) * checkTurn
	if now.UnixNano()-b.use.othersCheckedAt.Load() < int64(min(checkedFresh+turn, checkedTold)) {
		return
	}
	g.doubt(b, now)
}

// check asks an endpoint for its report and notes when it gives none. One of a plain service
// gives none in any case. It returns false when nothing can be said of the endpoint, since this
// process was held up.
func (g *Gateway) check(b *backend) bool {
	return g.checkSince(b, time.Time{})
}

// checkSince does the same, by a question that is asked after a time.
func (g *Gateway) checkSince(b *backend, since time.Time) bool {
	if b.Card == "" {
		g.knock(b)
		return true
	}
	begun := time.Now()
	report, err := g.probes.AskSince(context.Background(), b.Address, since)
	now := time.Now()
	switch {
	case errors.Is(err, probe.ErrHeldUp):
		g.Meter.Check(checkHeldUp)
		return false
	case silent(err):
		g.Meter.Check(checkSilent)
		g.noteSilence(b, errors.Is(err, syscall.ECONNREFUSED), err, begun)
		return true
	case err == nil && b.outlived(report):
		g.Meter.Check(checkAnother)
		g.noteSilence(b, true, errAnotherLife, begun)
		return true
	}
	g.Meter.Check(checkPassed)
	b.use.checkedAt.Store(now.UnixNano())
	g.noteAnswer(b, begun, now)
	if err == nil {
		b.use.pace.Set(report.Pace, begun)
		b.noteHeld(report.Layers, begun)
		g.noteStalls(report)
	}
	return true
}

// referenceFresh is how recent an event must be that came through an endpoint with which a silent
// one is compared: shorter than a silent one is waited for, so that both have not ended together.
const referenceFresh = 60 * time.Millisecond

// reference returns the address of the endpoint other than one through which an event came last,
// empty when that is long ago. Where the link of this host is choked no endpoint answers in time:
// while large configurations came three times a second, 104 of 136 endpoints that were found
// silent in ten seconds answered again within a second, and 620 streams had been moved for that.
func (g *Gateway) reference(address string) string {
	last, found := time.Now().Add(-referenceFresh).UnixNano(), ""
	for _, b := range g.fleet.Load().byAddress {
		if at := b.use.eventAt.Load(); b.Address != address && at > last && !b.use.down() {
			last, found = at, b.Address
		}
	}
	return found
}

// errAnotherLife is an endpoint that answers for another life than that of its record.
var errAnotherLife = errors.New("the endpoint has started again")

// outlived reports whether a report is that of a later life than the record tells of, which
// holds nothing of what the record says.
func (b *backend) outlived(r runner.Report) bool {
	return endpoint.Endpoint{Born: r.Born}.Follows(b.Endpoint)
}

// noteSilence notes that a check that began at a time found the life of an endpoint without an
// answer, and whether it has surely ended.
func (g *Gateway) noteSilence(b *backend, ended bool, err error, begun time.Time) {
	now := time.Now()
	ran := b.use.watchers.begun(b.ID, now) // before those that wait for this check let go of it
	b.use.markDown(now, ended)
	g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Err(err).Bool("ended", ended).
		Strs("begun", prints(ran)).Dur("took_ms", now.Sub(begun)).Msg("endpoint does not answer")
	g.spreadLoss(b)
	if ended {
		g.quarantine.Report(b.life(), ran, now)
	} else {
		b.use.begun.Store(&ran)
	}
	g.quarantine.Review(now)
}

// knock notes whether the host of an endpoint of a plain service refuses connections to it.
// Its health check would wait for a slot, as requests do.
func (g *Gateway) knock(b *backend) {
	ended := probe.Refuses(context.Background(), b.Address)
	if ended {
		g.Meter.Check(checkSilent)
	} else {
		g.Meter.Check(checkPassed)
	}
	if b.use.ended.Swap(ended) != ended {
		g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Bool("ended", ended).Msg("plain endpoint was checked")
	}
	g.quarantine.Review(time.Now())
}

// noteAnswer notes that an endpoint has answered a question that was begun at a time.
func (g *Gateway) noteAnswer(b *backend, begun, now time.Time) {
	if b.use.answered(begun, now) {
		g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Int("witnesses", b.use.witnesses.Count(now)).
			Msg("endpoint answers, against the word of others")
	}
}

// silent reports whether an error of a check shows that the endpoint is not there:
// one that refuses lives.
func silent(err error) bool {
	var refused *runner.RefusedError
	return err != nil && !errors.As(err, &refused)
}

// spreadLoss has the streams through a lost endpoint moved, and the other
// gateways told at once.
func (g *Gateway) spreadLoss(b *backend) {
	b.use.watchers.kick()
	if b.use.down() && b.use.witnesses.Count(time.Now()) < enoughWitnesses {
		g.gossip.TellLoss(b.ID)
	}
	g.gossip.News()
}

// noteStalls notes which endpoints hold requests up.
func (g *Gateway) noteStalls(report runner.Report) {
	now := time.Now()
	for _, stall := range report.Stalled {
		b := g.fleet.Load().byAddress[stall.Address]
		if b == nil || b.use.dead(now) {
			continue
		}
		b.use.stall(now)
		g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Str("request", stall.Request).
			Msg("endpoint holds requests up")
		g.spreadLoss(b)
	}
}

// hasEnded reports whether an endpoint holds nothing that can be used, although its
// record is there: it does not answer this gateway, nor another one.
func (g *Gateway) hasEnded(b *backend, now time.Time) bool {
	if !b.use.down() || now.UnixNano()-b.use.downSince.Load() < int64(endedAfter) {
		return false
	}
	return g.peers.Alone() || b.use.othersDown.Load() > 0
}

// revive checks the endpoints that are down until ctx ends: requests go to them
// only after they have answered again.
func (g *Gateway) revive(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, reviveEvery)
		for _, b := range g.fleet.Load().byID {
			g.verifyTold(b, time.Now())
			if !b.use.down() || !g.recheckDue(b, time.Now()) || !b.use.checking.CompareAndSwap(false, true) {
				continue
			}
			go func() {
				defer b.use.checking.Store(false)
				g.recheck(ctx, b)
			}()
		}
	}
}

// verifyTold checks an endpoint that is taken for dead by the word of others for some time:
// the others may be cut off from it, and this gateway may be the one that reaches it.
func (g *Gateway) verifyTold(b *backend, now time.Time) {
	if now.UnixNano() < b.use.toldUntil.Load() && now.UnixNano()-b.use.toldSince.Load() > int64(toldEnough) {
		g.suspect(b)
	}
}

// looksAfter reports whether this gateway is one of those that check an endpoint for the
// others.
func (g *Gateway) looksAfter(b *backend) bool {
	return g.leading.Load() || g.gossip.Overlay().Rank(b.ID, b.Hall) < checkersEach
}

// recheckDue reports whether an endpoint that is down is to be checked again. Those that
// look after it do so all the time, and the others once these say no more that it is down,
// or after a while. One that is down for this gateway alone is checked ever more seldom.
func (g *Gateway) recheckDue(b *backend, now time.Time) bool {
	if g.looksAfter(b) {
		return true
	}
	wait := strayEvery
	if b.use.othersDown.Load() == 0 {
		wait = recheckWait.Delay(int(b.use.rechecks.Load()), 0)
	}
	return now.UnixNano()-b.use.silentAt.Load() >= int64(wait)
}

// recheckWait is the time between two checks of an endpoint that is down for one gateway
// alone.
var recheckWait = backoff.Backoff{Base: reviveEvery, Max: strayEvery}

// recheck asks an endpoint that is down for its report, and uses it again when it
// gives one.
func (g *Gateway) recheck(ctx context.Context, b *backend) {
	report, err := g.probes.Ask(ctx, b.Address)
	if errors.Is(err, probe.ErrHeldUp) {
		g.Meter.Check(checkHeldUp)
		return
	}
	if silent(err) || b.outlived(report) { // its record will tell of the other life
		g.Meter.Check(checkStillSilent)
		b.use.silentAt.Store(time.Now().UnixNano())
		b.use.rechecks.Add(1)
		if !silent(err) || errors.Is(err, syscall.ECONNREFUSED) {
			g.endedAfterSilence(b, time.Now())
		}
		return
	}
	b.use.begun.Store(nil)
	g.Meter.Check(checkRevived)
	if err == nil {
		b.noteHeld(report.Layers, time.Now())
	}
	b.use.downSince.Store(0)
	b.use.ended.Store(false)
	g.Log.Info().Str("endpoint", b.ID).Str("address", b.Address).Msg("endpoint answers again")
}
