// Package quarantine blocks requests that make endpoints crash. An endpoint has ended under a request
// if it ended shortly after it began to run the request. A caller may retry such a request with another
// ID and at any gateway, so the gateways report these ends to a few of them, the keepers of the request,
// which count the ends for the whole fleet, answer the report with the count, and tell all gateways of a
// request under which two have ended. From then on one copy at a time is sent in the whole fleet, isolated
// from other suspects: see [Guard]. What that shows spreads with digests and at once, and through
// the store, where it outlives the gateways.
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
	"github.com/grademill/grademill/decide/trial"
	"github.com/grademill/grademill/state/suspects"
	"github.com/grademill/grademill/state/trials"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Times and limits of the quarantine.
const (
	// quarantineTime is how long a request is quarantined, and also how long an end counts. The store
	// holds a quarantine under a lease, and this is the longest lease that it grants.
	quarantineTime = 10 * time.Minute
	// minRemaining is the shortest remaining time with which a reported quarantine is adopted. Each
	// digest prolongs it by its transmission time, so without this bound a quarantine would never end.
	minRemaining = time.Second
	// maxReported limits the requests in a datagram, some 40 bytes each.
	maxReported = 64
	// maxPendingWrites limits the requests that wait to be written to the store.
	maxPendingWrites = 256
	// announcerRank is the number of keepers that tell all gateways of a suspect: one of them may have
	// ended unnoticed.
	announcerRank = 3
	// announceInterval is the minimum time between two messages to all gateways, in a fleet of up to
	// announceFleet gateways. In a larger one it grows in proportion.
	announceInterval = 20 * time.Millisecond
	announceFleet    = 64
	// answerWait is how long a request under which an endpoint has just ended waits until its keepers have
	// answered, so that it is not sent again unaware of ends at other gateways; answers is the number
	// of answers that suffice.
	answerWait = 50 * time.Millisecond
	answers    = 3
	// maxNames limits the incarnations whose names are known for the log.
	maxNames = 1024
)

// Values of the event label of metrics.
const (
	eventEnd      = "endpoint ended under request"
	eventBegun    = "begun"
	eventReported = "told by others"
	eventTried    = "tried apart"
	eventCleared  = "cleared"
)

// Quarantine is the quarantine of one gateway. Set the exported fields and call Init before anything else.
type Quarantine struct {
	// Self is the gateway's name.
	Self string
	// Keepers returns the gateways that count the ends of the request with the given key, Others all other
	// gateways of the fleet.
	Keepers func(key string) []overlay.Member
	Others  func() []overlay.Member
	// Send sends a datagram to gateways, SendSoon causes a digest to be sent soon.
	Send     func(p *wire.Packet, to ...overlay.Member)
	SendSoon func()
	// State returns whether an incarnation of an endpoint has certainly ended, and otherwise whether it is
	// silent; it has the endpoint checked if that is not known.
	State func(suspects.Incarnation) (ended, silent bool)
	// Store keeps the quarantined requests and the trials of suspects. StoreAnswers reports whether it answers
	// this gateway.
	Store        Store
	StoreAnswers func() bool
	// Count counts an event.
	Count func(event string)
	Log   zerolog.Logger

	known  suspects.Suspects
	trials trials.Trials
	writes chan fingerprint.Fingerprint
	// announcing is signalled when there are requests to announce.
	announcing chan struct{}

	mu sync.Mutex // guards the fields below
	// changed is closed when something has changed for which copies of suspects wait, and replaced.
	changed chan struct{}
	// resends are the datagrams to be sent once more, since a datagram may be lost.
	resends []message
	// announced are the requests to be announced to all gateways.
	announced map[fingerprint.Fingerprint]bool
	// unanswered are the requests whose ends were reported to their keepers.
	unanswered map[fingerprint.Fingerprint]reported
	// names are the names of incarnations, for the log.
	names map[suspects.Life]string
	// running are the suspects of which this gateway holds an attempt.
	running map[fingerprint.Fingerprint]bool
	// stored are the requests that the store holds as quarantined.
	stored map[fingerprint.Fingerprint]bool
}

// message is a datagram and its recipients.
type message struct {
	packet *wire.Packet
	to     []overlay.Member
}

// reported is a report to the keepers of a request: when it was sent, and how many answers are awaited.
type reported struct {
	at      time.Time
	missing int
}

// Init initializes the quarantine; call it before any other method.
func (q *Quarantine) Init() {
	q.known.Retention, q.known.SuspectFrom = quarantineTime, trial.SuspectFrom
	q.writes = make(chan fingerprint.Fingerprint, maxPendingWrites)
	q.announcing = make(chan struct{}, 1)
	q.changed = make(chan struct{})
	q.announced = make(map[fingerprint.Fingerprint]bool)
	q.unanswered = make(map[fingerprint.Fingerprint]reported)
	q.names = make(map[suspects.Life]string)
	q.running = make(map[fingerprint.Fingerprint]bool)
	q.stored = make(map[fingerprint.Fingerprint]bool)
}

// Run writes the requests that this gateway quarantines to the store, and announces suspects, until ctx
// ends.
func (q *Quarantine) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { q.announce(ctx) })
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
	q.noteName(incarnation)
	for _, b := range begun {
		q.Count(eventEnd)
		if _, keeps := q.keeperRank(b.Print); keeps {
			q.record(b.Print, suspects.End{Life: incarnation.Life(), Age: b.Age}, now)
			continue
		}
		q.known.Merge(suspects.Suspect{
			Print: b.Print, Count: 1, Ends: []suspects.End{{Life: incarnation.Life(), Age: b.Age}}, Recent: true,
		}, now)
	}
	q.notifyKeepers(incarnation, begun, now)
}

// Suspected reports whether a request may be sent only as an isolated attempt, or not at all.
func (q *Quarantine) Suspected(f fingerprint.Fingerprint, now time.Time) bool {
	return q.Remaining(f, now) > 0 || q.known.Ends(f, now) >= trial.SuspectFrom || q.trials.Get(f).Revision > 0
}

// Reserved returns the suspects for which endpoints are reserved at now, by the ID of the endpoint. No other
// request should begin there.
func (q *Quarantine) Reserved(now time.Time) map[string]fingerprint.Fingerprint {
	return q.trials.Reserved(now)
}

// Completed notes that a request has run for long enough without crashing its endpoint, or to its end.
func (q *Quarantine) Completed(f fingerprint.Fingerprint, now time.Time) {
	switch ends := q.known.Clear(f, now); {
	case ends >= trial.SuspectFrom:
		q.Count(eventCleared)
		q.Log.Info().Stringer("print", f).Int("ends", ends).Msg("request is cleared: it has run without ending its endpoint")
		q.wake()
		q.announceSoon(f)
	case ends > 0:
		q.notifyKeepers(suspects.Incarnation{}, []suspects.Begun{{Print: f}}, now)
	}
}

// notifyKeepers sends the ends to the keepers of the requests, and once more at the next Tick.
func (q *Quarantine) notifyKeepers(incarnation suspects.Incarnation, begun []suspects.Begun, now time.Time) {
	to, members := make(map[string]*wire.Ends), make(map[string]overlay.Member)
	for _, b := range begun {
		keeps, missing := false, 0
		for _, m := range q.Keepers(b.Print.String()) {
			if m.Name == q.Self {
				keeps = true
				continue
			}
			if to[m.Name] == nil {
				to[m.Name] = &wire.Ends{Gateway: q.Self, Endpoint: incarnation.Endpoint, Born: incarnation.Born}
				members[m.Name] = m
			}
			ends := to[m.Name]
			ends.Prints = append(ends.Prints, uint64(b.Print))
			ends.AgesMillis = append(ends.AgesMillis, uint32(b.Age.Milliseconds()))
			missing = min(missing+1, answers)
		}
		if incarnation.Endpoint != "" && !keeps {
			q.mu.Lock()
			q.unanswered[b.Print] = reported{at: now, missing: missing}
			q.mu.Unlock()
		}
	}
	for name, ends := range to {
		q.sendTwice(&wire.Packet{Ends: ends}, members[name])
	}
}

// sendTwice sends a datagram, and once more at the next Tick.
func (q *Quarantine) sendTwice(p *wire.Packet, to ...overlay.Member) {
	q.Send(p, to...)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.resends = append(q.resends, message{p, to})
}

// HearEnds processes ends and completions that another gateway reports to the keepers, and answers the ends.
func (q *Quarantine) HearEnds(e *wire.Ends, now time.Time) {
	if e.GetEndpoint() == "" {
		for _, p := range e.GetPrints() {
			q.known.Clear(fingerprint.Fingerprint(p), now)
		}
		return
	}
	incarnation := suspects.Incarnation{Endpoint: e.GetEndpoint(), Born: e.GetBorn()}
	q.noteName(incarnation)
	answer := &wire.Suspects{Gateway: q.Self, Answer: true}
	for i, p := range e.GetPrints() {
		f := fingerprint.Fingerprint(p)
		q.record(f, suspects.End{Life: incarnation.Life(), Age: ageAt(e.GetAgesMillis(), i)}, now)
		answer.Suspects = append(answer.Suspects, q.describe(q.known.Get(f, now)))
	}
	others := q.Others()
	if i := slices.IndexFunc(others, func(m overlay.Member) bool { return m.Name == e.GetGateway() }); i >= 0 {
		q.Send(q.packet(answer), others[i])
	}
}

// packet returns the datagram with a message. It also holds ends of no requests, since former builds take a datagram of
// whose fields they know none for an empty digest.
func (q *Quarantine) packet(s *wire.Suspects) *wire.Packet {
	return &wire.Packet{Ends: &wire.Ends{Gateway: q.Self}, Suspects: s}
}

// ageAt returns the i-th of some ages, 0 where the sender is a former build that tells none.
func ageAt(millis []uint32, i int) time.Duration {
	if i >= len(millis) {
		return 0
	}
	return time.Duration(millis[i]) * time.Millisecond
}

// Tick repeats the datagrams sent since the previous Tick.
func (q *Quarantine) Tick(now time.Time) {
	q.mu.Lock()
	resends := q.resends
	q.resends = nil
	for f, r := range q.unanswered {
		if now.Sub(r.at) > answerWait {
			delete(q.unanswered, f)
		}
	}
	q.mu.Unlock()
	for _, one := range resends {
		q.Send(one.packet, one.to...)
	}
}

// record adds an end, and announces the request to all gateways if it is a suspect.
func (q *Quarantine) record(f fingerprint.Fingerprint, e suspects.End, now time.Time) {
	before, after := q.known.Note(f, e, now)
	if after == before || after < trial.SuspectFrom {
		return
	}
	if before < trial.SuspectFrom {
		q.logSuspect(f, after, q.Self)
	}
	if rank, _ := q.keeperRank(f); rank < announcerRank {
		q.announceSoon(f)
	}
	q.SendSoon()
}

// logSuspect logs that this gateway isolates a request from now on, and the gateway that counted its ends.
func (q *Quarantine) logSuspect(f fingerprint.Fingerprint, ends int, from string) {
	q.Log.Info().Stringer("print", f).Int("ends", ends).Str("by", from).Msg("request is isolated: endpoints have ended under it")
}

// announceSoon has a request announced to all gateways.
func (q *Quarantine) announceSoon(f fingerprint.Fingerprint) {
	q.mu.Lock()
	q.announced[f] = true
	q.mu.Unlock()
	select {
	case q.announcing <- struct{}{}:
	default: // pending already
	}
}

// announce tells all gateways of requests until ctx ends.
func (q *Quarantine) announce(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.announcing:
		}
		q.mu.Lock()
		announced := q.announced
		q.announced = make(map[fingerprint.Fingerprint]bool)
		q.mu.Unlock()
		now, others := time.Now(), q.Others()
		var list []*wire.Suspect
		for f := range announced {
			list = append(list, q.describe(q.known.Get(f, now)))
		}
		for part := range slices.Chunk(list, maxReported) {
			q.sendTwice(q.packet(&wire.Suspects{Gateway: q.Self, Suspects: part}), others...)
		}
		pause.For(ctx, announceInterval*time.Duration(max(len(others), announceFleet))/announceFleet)
	}
}

// Reports returns the entries of a digest sent at now: the quarantined requests and the suspects that this
// gateway counts, or for the digest of a hall all that it knows.
func (q *Quarantine) Reports(now time.Time, hall bool) []*wire.Suspect {
	list := q.known.List(trial.SuspectFrom, maxReported, !hall, now)
	reports := make([]*wire.Suspect, 0, len(list))
	for _, s := range list {
		reports = append(reports, q.describe(s))
	}
	return reports
}

// describe returns what is known of a request as other gateways are told.
func (q *Quarantine) describe(s suspects.Suspect) *wire.Suspect {
	d := &wire.Suspect{
		Print: uint64(s.Print), Ends: uint32(s.Count), LeftMillis: uint32(s.QuarantineLeft.Milliseconds()), Recent: s.Recent,
		AgeMillis: uint32(max(s.Since.Milliseconds(), 0)), Cleared: s.Cleared,
	}
	for _, e := range s.Ends {
		d.Lives, d.AgesMillis = append(d.Lives, uint32(e.Life)), append(d.AgesMillis, uint32(e.Age.Milliseconds()))
	}
	if t := q.trials.Last(s.Print); t.Revision > 0 {
		d.Trial = encodeTrial(t)
	}
	return d
}

// HearSuspects processes what another gateway tells of requests.
func (q *Quarantine) HearSuspects(m *wire.Suspects, now time.Time) {
	q.HearReports(m.GetSuspects(), m.GetGateway(), now)
	if !m.GetAnswer() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range m.GetSuspects() {
		f := fingerprint.Fingerprint(s.GetPrint())
		if r, ok := q.unanswered[f]; ok {
			r.missing--
			q.unanswered[f] = r
		}
	}
	q.wakeLocked()
}

// HearReports processes the suspected and quarantined requests that another gateway reports.
func (q *Quarantine) HearReports(list []*wire.Suspect, from string, now time.Time) {
	changed := false
	for _, w := range list {
		f := fingerprint.Fingerprint(w.GetPrint())
		s := suspects.Suspect{
			Print: f, Count: int(w.GetEnds()), Since: time.Duration(w.GetAgeMillis()) * time.Millisecond, Recent: w.GetRecent(),
			Cleared: w.GetCleared(), QuarantineLeft: min(time.Duration(w.GetLeftMillis())*time.Millisecond, quarantineTime),
		}
		for i, l := range w.GetLives() {
			s.Ends = append(s.Ends, suspects.End{Life: suspects.Life(l), Age: ageAt(w.GetAgesMillis(), i)})
		}
		switch t := w.GetTrial(); {
		case t == nil:
		case t.GetLease() == "":
			changed = q.trials.Remove(f, t.GetRevision()) || changed
		default:
			changed = q.noteTrial(f, decodeTrial(t, t.GetRevision(), now)) || changed
		}
		if s.QuarantineLeft > 0 {
			if s.QuarantineLeft >= minRemaining {
				q.adopt(f, s.QuarantineLeft, s.Ends, from, now)
			}
			continue
		}
		before, after := q.known.Merge(s, now)
		if before < trial.SuspectFrom && after >= trial.SuspectFrom {
			q.logSuspect(f, after, from)
		}
		if after > before {
			if _, keeps := q.keeperRank(f); keeps {
				q.known.Keep(f)
			}
		}
		changed = changed || after < before
	}
	if changed {
		q.wake()
	}
}

// adopt quarantines a request on the report of another gateway or of the store.
func (q *Quarantine) adopt(f fingerprint.Fingerprint, left time.Duration, ends []suspects.End, from string, now time.Time) {
	if !q.known.SetQuarantine(f, now, now.Add(left), ends...) {
		return
	}
	q.Count(eventReported)
	q.Log.Warn().Stringer("print", f).Str("by", from).Dur("lasts_ms", left).Msg("request is quarantined by the word of others")
	q.wake()
}

// wake has the copies of suspects that wait look again.
func (q *Quarantine) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeLocked()
}

// wakeLocked is wake for a caller that holds q.mu.
func (q *Quarantine) wakeLocked() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// awaitChange waits until something has changed that copies of suspects wait for, for at most d.
func (q *Quarantine) awaitChange(ctx context.Context, d time.Duration) {
	q.mu.Lock()
	changed := q.changed
	q.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// noteName keeps the name of an incarnation for the log.
func (q *Quarantine) noteName(l suspects.Incarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.names) >= maxNames {
		clear(q.names)
	}
	q.names[l.Life()] = l.String()
}

// nameEnds returns the names of the incarnations that have ended, or their hashes where the names are not known here;
// the isolated one is marked.
func (q *Quarantine) nameEnds(ends []suspects.End, isolated suspects.Life) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]string, 0, len(ends))
	for _, e := range ends {
		name, ok := q.names[e.Life]
		if !ok {
			name = e.Life.String()
		}
		if e.Life == isolated {
			name += " (tried apart)"
		}
		list = append(list, name)
	}
	return list
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
