// Package quarantine blocks requests that make endpoints crash. An endpoint has ended under a request
// if it ended shortly after it began to run the request. A caller may retry such a request with another
// ID and at any gateway, so the gateways report these ends to a few of them, the keepers of the request,
// which count the ends for the whole fleet. The verdict spreads with digests, and through the store,
// where it outlives the gateways.
package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/state/suspects"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Thresholds, times and limits of the quarantine.
const (
	// minEnds is the number of endpoints that must have ended under a request before it is
	// quarantined, if it was isolated in at least one of these ends. When many endpoints crash for
	// another reason, two of them may have run the same request, but seldom three within a second of
	// its start.
	minEnds = 3
	// minEndsUnisolated is the number of ends required if the request was isolated in none of them.
	// Harmless requests that arrive at many gateways together with a crashing one are isolated only
	// once all gateways know that two endpoints have ended under them. Until then, one more end may
	// be counted for each of them.
	minEndsUnisolated = 6
	// reportFrom is the number of ends from which a request is reported to all gateways, so that any
	// gateway at which it completes can report the completion.
	reportFrom = 2
	// isolateFrom is the number of ends from which a request is isolated from other suspects.
	isolateFrom = reportFrom
	// quarantineTime is how long a request is quarantined, and also how long an end counts. The store
	// holds a quarantine under a lease, and this is the longest lease that it grants.
	quarantineTime = 10 * time.Minute
	// confirmTime is how long ends that others report may take to be confirmed.
	confirmTime = 3 * time.Second
	// reportLifetime is how long the number of ends that others report counts: a few digest intervals,
	// also in a large fleet.
	reportLifetime = 3 * time.Second
	// minRemaining is the shortest remaining time with which a reported quarantine is adopted. Each
	// digest prolongs it by its transmission time, so without this bound a quarantine would never end.
	minRemaining = time.Second
	// maxReported limits the requests in a digest, some 20 bytes each.
	maxReported = 64
	// maxPendingWrites limits the requests that wait to be written to the store.
	maxPendingWrites = 256
)

// Values of the event label of metrics.
const (
	eventEnd      = "endpoint ended under request"
	eventBegun    = "begun"
	eventReported = "told by others"
)

// Quarantine is the quarantine of one gateway. Set the exported fields and call Init before anything else.
type Quarantine struct {
	// Self is the gateway's name.
	Self string
	// Keepers returns the gateways that count the ends of the request with the given key.
	Keepers func(key string) []overlay.Member
	// SendEnds sends a datagram to gateways, SendSoon causes a digest to be sent soon.
	SendEnds func(e *wire.Ends, to ...overlay.Member)
	SendSoon func()
	// HasEnded reports whether an incarnation of an endpoint counts as ended: it has certainly ended,
	// or its endpoint is presumed dead. Otherwise HasEnded has it checked.
	HasEnded func(suspects.Incarnation) bool
	// Store keeps the quarantined requests.
	Store Store
	// Count counts an event.
	Count func(event string)
	Log   zerolog.Logger

	known  suspects.Suspects
	writes chan fingerprint.Fingerprint

	mu sync.Mutex // guards the fields below
	// resends are the datagrams to be sent once more, since a datagram may be lost.
	resends []message
	// unconfirmed are the requests with enough ends of which some are not confirmed, with the time
	// until which these are checked.
	unconfirmed map[fingerprint.Fingerprint]time.Time
	// stored are the requests that the store holds.
	stored map[fingerprint.Fingerprint]bool
}

// message is a datagram and its recipient.
type message struct {
	ends *wire.Ends
	to   overlay.Member
}

// Init initializes the quarantine; call it before any other method.
func (q *Quarantine) Init() {
	q.known.Retention, q.known.SuspectFrom = quarantineTime, isolateFrom
	q.writes = make(chan fingerprint.Fingerprint, maxPendingWrites)
	q.unconfirmed = make(map[fingerprint.Fingerprint]time.Time)
	q.stored = make(map[fingerprint.Fingerprint]bool)
}

// Run writes the requests that this gateway quarantines to the store, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-q.writes:
			group.Go(func() { q.persist(ctx, f) })
		}
	}
}

// Remaining returns how much longer a request is quarantined at now, 0 if it is not.
func (q *Quarantine) Remaining(f fingerprint.Fingerprint, now time.Time) time.Duration {
	return q.known.QuarantineLeft(f, now)
}

// Report notes that an incarnation of an endpoint has certainly ended under requests that it had just
// begun to run, and notifies their keepers.
func (q *Quarantine) Report(incarnation suspects.Incarnation, begun []suspects.Begun, now time.Time) {
	for _, b := range begun {
		q.Count(eventEnd)
		if _, keeps := q.keeperRank(b.Print); keeps {
			q.record(b.Print, suspects.End{Incarnation: incarnation, Tried: b.Tried}, now)
			continue
		}
		// Only the keepers hear when the request completes elsewhere, so this count expires.
		q.known.AddReport(b.Print, q.known.Ends(b.Print, now)+1, true, now, now.Add(reportLifetime))
	}
	q.notifyKeepers(incarnation, begun)
}

// Ends returns the number of endpoints known to have ended under a request.
func (q *Quarantine) Ends(f fingerprint.Fingerprint, now time.Time) int {
	return q.known.Ends(f, now)
}

// MustIsolate reports whether a request must be isolated from all other suspects.
func (q *Quarantine) MustIsolate(f fingerprint.Fingerprint, now time.Time) bool {
	return q.known.Ends(f, now) >= isolateFrom
}

// Arrived notes that a suspected request has arrived.
func (q *Quarantine) Arrived(f fingerprint.Fingerprint, now time.Time) {
	q.known.Arrived(f, now)
}

// Suspects returns the requests that run isolated from each other at now, or will soon.
func (q *Quarantine) Suspects(now time.Time) []fingerprint.Fingerprint {
	return q.known.Recent(now)
}

// Completed notes that a request has completed.
func (q *Quarantine) Completed(f fingerprint.Fingerprint, now time.Time) {
	if q.known.Clear(f, now) {
		q.notifyKeepers(suspects.Incarnation{}, []suspects.Begun{{Print: f}})
	}
}

// notifyKeepers sends the ends to the keepers of the requests, and once more at the next Tick.
func (q *Quarantine) notifyKeepers(incarnation suspects.Incarnation, begun []suspects.Begun) {
	to := make(map[string]message)
	for _, b := range begun {
		for _, m := range q.Keepers(b.Print.String()) {
			if m.Name == q.Self {
				continue
			}
			if _, known := to[m.Name]; !known {
				to[m.Name] = message{&wire.Ends{Gateway: q.Self, Endpoint: incarnation.Endpoint, Born: incarnation.Born}, m}
			}
			ends := to[m.Name].ends
			ends.Prints = append(ends.Prints, uint64(b.Print))
			if b.Tried {
				ends.Tried = append(ends.Tried, uint64(b.Print))
			}
		}
	}
	for _, one := range to {
		q.SendEnds(one.ends, one.to)
		q.mu.Lock()
		q.resends = append(q.resends, one)
		q.mu.Unlock()
	}
}

// HearEnds processes ends and completions that another gateway reports to the keepers.
func (q *Quarantine) HearEnds(e *wire.Ends, now time.Time) {
	for _, p := range e.GetPrints() {
		if e.GetEndpoint() == "" {
			q.known.Clear(fingerprint.Fingerprint(p), now)
			continue
		}
		incarnation := suspects.Incarnation{Endpoint: e.GetEndpoint(), Born: e.GetBorn()}
		q.record(fingerprint.Fingerprint(p), suspects.End{Incarnation: incarnation, Tried: slices.Contains(e.GetTried(), p)}, now)
	}
}

// Tick repeats the datagrams sent since the previous Tick, and reviews the unconfirmed requests.
func (q *Quarantine) Tick(now time.Time) {
	q.mu.Lock()
	resends := q.resends
	q.resends = nil
	q.mu.Unlock()
	for _, one := range resends {
		q.SendEnds(one.ends, one.to)
	}
	q.Review(now)
}

// Review evaluates the unconfirmed requests again. Call it when an endpoint has been checked.
func (q *Quarantine) Review(now time.Time) {
	q.mu.Lock()
	var unconfirmed []fingerprint.Fingerprint
	for f, until := range q.unconfirmed {
		if now.After(until) {
			delete(q.unconfirmed, f)
			continue
		}
		unconfirmed = append(unconfirmed, f)
	}
	q.mu.Unlock()
	for _, f := range unconfirmed {
		q.evaluate(f, q.known.Known(f, now), now)
	}
}

// record adds an end and evaluates the request again.
func (q *Quarantine) record(f fingerprint.Fingerprint, e suspects.End, now time.Time) {
	ends := q.known.Note(f, e, now)
	if len(ends) == reportFrom {
		q.logSuspect(f, len(ends), q.Self)
		q.SendSoon() // the request is isolated once all gateways know
	}
	q.evaluate(f, ends, now)
}

// logSuspect logs that this gateway isolates a request from now on, and the gateway that counted its ends.
func (q *Quarantine) logSuspect(f fingerprint.Fingerprint, ends int, from string) {
	q.Log.Info().Stringer("print", f).Int("ends", ends).Str("by", from).Msg("request is isolated: endpoints have ended under it")
}

// enough reports whether ends show that the request causes them.
func enough(ends []suspects.End) bool {
	isolated := slices.ContainsFunc(ends, func(e suspects.End) bool { return e.Tried })
	return len(ends) >= minEndsUnisolated || isolated && len(ends) >= minEnds
}

// evaluate quarantines a request when enough of the incarnations that are reported to have ended under
// it count as ended here too. A report by a gateway that is cut off proves nothing: to it all endpoints
// seem to have ended.
func (q *Quarantine) evaluate(f fingerprint.Fingerprint, ends []suspects.End, now time.Time) {
	if !enough(ends) || q.known.QuarantineLeft(f, now) > 0 {
		return
	}
	var confirmed []suspects.End
	for _, e := range ends {
		if q.HasEnded(e.Incarnation) {
			confirmed = append(confirmed, e)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !enough(confirmed) {
		if _, known := q.unconfirmed[f]; !known {
			q.unconfirmed[f] = now.Add(confirmTime)
		}
		return
	}
	delete(q.unconfirmed, f)
	if !q.known.SetQuarantine(f, now, now.Add(quarantineTime)) {
		return
	}
	q.Count(eventBegun)
	q.Log.Warn().Stringer("print", f).Strs("ended", formatEnds(confirmed)).Dur("lasts_ms", quarantineTime).Msg("request is quarantined")
	q.SendSoon()
	q.queueWrite(f)
}

// formatEnds returns ends as written to the log, with those marked in which the request was isolated.
func formatEnds(ends []suspects.End) []string {
	list := make([]string, 0, len(ends))
	for _, e := range ends {
		text := e.String()
		if e.Tried {
			text += " (tried apart)"
		}
		list = append(list, text)
	}
	return list
}

// Reports returns the entries of a digest sent at now: the suspected and quarantined requests.
func (q *Quarantine) Reports(now time.Time) []*wire.Suspect {
	list := q.known.List(reportFrom, maxReported, now)
	reports := make([]*wire.Suspect, 0, len(list))
	for _, s := range list {
		reports = append(reports, &wire.Suspect{
			Print: uint64(s.Print), Ends: uint32(s.Ends), LeftMillis: uint32(s.QuarantineLeft.Milliseconds()), Recent: s.Recent,
		})
	}
	return reports
}

// HearReports processes the suspected and quarantined requests in a digest of another gateway.
func (q *Quarantine) HearReports(list []*wire.Suspect, from string, now time.Time) {
	for _, s := range list {
		f := fingerprint.Fingerprint(s.GetPrint())
		if s.GetEnds() > 0 {
			if known := q.known.Ends(f, now); known < isolateFrom && int(s.GetEnds()) >= isolateFrom {
				q.logSuspect(f, int(s.GetEnds()), from)
			}
			q.known.AddReport(f, int(s.GetEnds()), s.GetRecent(), now, now.Add(reportLifetime))
		}
		left := min(time.Duration(s.GetLeftMillis())*time.Millisecond, quarantineTime)
		if left >= minRemaining {
			q.adopt(f, left, from, now)
		}
	}
}

// adopt quarantines a request on the report of another gateway or of the store.
func (q *Quarantine) adopt(f fingerprint.Fingerprint, left time.Duration, from string, now time.Time) {
	if !q.known.SetQuarantine(f, now, now.Add(left)) {
		return
	}
	q.Count(eventReported)
	q.Log.Warn().Stringer("print", f).Str("by", from).Dur("lasts_ms", left).Msg("request is quarantined by the word of others")
}

// keeperRank returns how many keepers of a request rank before this gateway, and whether it is one.
func (q *Quarantine) keeperRank(f fingerprint.Fingerprint) (int, bool) {
	list := q.Keepers(f.String())
	i := slices.IndexFunc(list, func(m overlay.Member) bool { return m.Name == q.Self })
	if i < 0 {
		return len(list), false
	}
	return i, true
}

// wait waits for d, and reports whether the request must still be written to the store then.
func (q *Quarantine) wait(ctx context.Context, f fingerprint.Fingerprint, d time.Duration) bool {
	pause.For(ctx, d)
	return ctx.Err() == nil && !q.isStored(f) && q.known.QuarantineLeft(f, time.Now()) > 0
}
