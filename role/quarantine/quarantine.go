// Package quarantine blocks requests that make endpoints crash. An endpoint has ended under a request
// if it ended shortly after it began to run the request. The cause may be the request, which its caller may retry with
// another ID and at any gateway, or a part of its prompt that other requests share. So the gateways report the
// ends under each possible cause to a few of them, the keepers of the cause, which count the ends for the whole
// fleet, answer the report with the count, and tell all gateways of a cause under which two have ended. From
// then on one request with it at a time is sent in the whole fleet, isolated from other suspects: see [Guard].
// What that shows spreads with digests and at once, and through the store, where it outlives the gateways.
//
// A cause crashes each endpoint that begins an answer to a request with it, so that one such request that runs well
// clears it. Parts that many prompts have are in the ends under others, and run well all the time: each gateway keeps
// when, in a table of fixed size, and sends that only with the ends.
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
	"github.com/grademill/grademill/decide/suspicion"
	"github.com/grademill/grademill/state/suspects"
	"github.com/grademill/grademill/state/trials"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Times and limits of the quarantine.
const (
	// quarantineTime is how long a cause is quarantined, and also how long an end counts. The store
	// holds a quarantine under a lease, and this is the longest lease that it grants.
	quarantineTime = 10 * time.Minute
	// minRemaining is the shortest remaining time with which a reported quarantine is adopted. Each
	// digest prolongs it by its transmission time, so without this bound a quarantine would never end.
	minRemaining = time.Second
	// maxReported limits the causes in a datagram, some 40 bytes each.
	maxReported = 64
	// maxPendingWrites limits the causes that wait to be written to the store.
	maxPendingWrites = 256
	// announcerRank is the number of keepers that tell all gateways of a suspect: one of them may have
	// ended unnoticed.
	announcerRank = 3
	// announceInterval is the minimum time between two messages to all gateways, in a fleet of up to
	// announceFleet gateways. In a larger one it grows in proportion.
	announceInterval = 20 * time.Millisecond
	announceFleet    = 64
	// answerWait is how long a request under which an endpoint has just ended waits until the keepers of its causes
	// have answered, so that it is not sent again unaware of ends at other gateways; answers is the number
	// of answers that suffice.
	answerWait = 50 * time.Millisecond
	answers    = 3
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
	// Keepers returns the gateways that count the ends of the cause with the given key, Others all other
	// gateways of the fleet.
	Keepers func(key string) []overlay.Member
	Others  func() []overlay.Member
	// Send sends a datagram to gateways, SendSoon causes a digest to be sent soon.
	Send     func(p *wire.Packet, to ...overlay.Member)
	SendSoon func()
	// State returns whether an incarnation of an endpoint has certainly ended, and otherwise whether it is
	// silent; it has the endpoint checked if that is not known.
	State func(suspicion.Incarnation) (ended, silent bool)
	// Store keeps the quarantined causes and the trials of suspects. StoreAnswers reports whether it answers
	// this gateway.
	Store        Store
	StoreAnswers func() bool
	// Count counts an event.
	Count func(event string)
	Log   zerolog.Logger

	ended  ended
	known  suspects.Suspects
	trials trials.Trials
	writes chan fingerprint.Fingerprint
	// announcing is signalled when there are causes to announce.
	announcing chan struct{}

	mu sync.Mutex // guards the fields below
	// changed is closed when something has changed for which copies of suspects wait, and replaced.
	changed chan struct{}
	// resends are the datagrams to be sent once more, since a datagram may be lost.
	resends []message
	// announced are the causes to be announced to all gateways.
	announced map[fingerprint.Fingerprint]bool
	// unanswered are the causes whose ends were reported to their keepers.
	unanswered map[fingerprint.Fingerprint]reported
	// running are the suspects of which this gateway holds an attempt.
	running map[fingerprint.Fingerprint]bool
	// stored are the causes that the store holds as quarantined.
	stored map[fingerprint.Fingerprint]bool
}

// message is a datagram and its recipients.
type message struct {
	packet *wire.Packet
	to     []overlay.Member
}

// reported is a report to the keepers of a cause: when it was sent, and how many answers are awaited.
type reported struct {
	at      time.Time
	missing int
}

// Init initializes the quarantine; call it before any other method.
func (q *Quarantine) Init() {
	q.known.Retention = quarantineTime
	q.writes = make(chan fingerprint.Fingerprint, maxPendingWrites)
	q.announcing = make(chan struct{}, 1)
	q.changed = make(chan struct{})
	q.announced = make(map[fingerprint.Fingerprint]bool)
	q.unanswered = make(map[fingerprint.Fingerprint]reported)
	q.running = make(map[fingerprint.Fingerprint]bool)
	q.stored = make(map[fingerprint.Fingerprint]bool)
}

// Run writes the causes that this gateway quarantines to the store, and announces suspects, until ctx
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

// Remaining returns how much longer a cause is quarantined at now, 0 if it is not.
func (q *Quarantine) Remaining(f fingerprint.Fingerprint, now time.Time) time.Duration {
	return q.known.QuarantineLeft(f, now)
}

// Report notes that an incarnation of an endpoint has certainly ended under requests that it had just
// begun to run, and notifies the keepers of the possible causes.
func (q *Quarantine) Report(incarnation suspicion.Incarnation, begun []suspects.Begun, now time.Time) {
	q.ended.note(incarnation, now)
	for _, b := range begun {
		q.Count(eventEnd)
		end := suspicion.End{Life: incarnation.Life(), Age: b.Age}
		if _, keeps := q.keeperRank(b.Print); keeps {
			q.record(b, end, time.Time{}, now)
			continue
		}
		q.known.Merge(suspects.Suspect{Print: b.Print, Part: b.Part, Count: 1, Ends: []suspicion.End{end}, Recent: true}, now)
	}
	q.notifyKeepers(incarnation, begun, now)
}

// Suspected reports whether requests with a cause may be sent only as isolated attempts, or not at all.
func (q *Quarantine) Suspected(f fingerprint.Fingerprint, now time.Time) bool {
	return q.Remaining(f, now) > 0 || q.known.Suspected(f, now) || q.trials.Get(f).Revision > 0
}

// Reserved returns the suspects for which endpoints are reserved at now, by the ID of the endpoint. Only requests with
// them should begin there.
func (q *Quarantine) Reserved(now time.Time) map[string]fingerprint.Fingerprint {
	return q.trials.Reserved(now)
}

// Completed notes that a request with a cause, which began its answer at a time, has run for long enough without
// crashing its endpoint, or to its end.
func (q *Quarantine) Completed(f fingerprint.Fingerprint, began, now time.Time) {
	if q.clear(f, began, now) > 0 {
		q.notifyKeepers(suspicion.Incarnation{}, []suspects.Begun{{Print: f, Age: now.Sub(began)}}, now)
	}
}

// clear removes the ends of a cause from before a request with it ran well, and returns how many there were. If it is
// no suspect any more, its first keepers tell all gateways.
func (q *Quarantine) clear(f fingerprint.Fingerprint, ranAt, now time.Time) int {
	ends := q.known.Clear(f, ranAt, now)
	if ends < suspicion.From {
		return ends
	}
	q.Count(eventCleared)
	q.Log.Info().Stringer("print", f).Int("ends", ends).Msg("request is cleared: it has run without ending its endpoint")
	q.wake()
	if rank, _ := q.keeperRank(f); rank < announcerRank {
		q.announceSoon(f)
	}
	return ends
}

// record adds an end, and announces the cause to all gateways if it is a suspect. ranAt is when the gateway that reports
// the end last saw a request with a part run well, zero if it did not.
func (q *Quarantine) record(b suspects.Begun, e suspicion.End, ranAt, now time.Time) {
	if b.Part {
		q.known.NotePart(b.Print, ranAt, now)
	}
	was := q.known.Suspected(b.Print, now)
	before, after := q.known.Note(b.Print, e, now)
	if after == before || !q.known.Suspected(b.Print, now) {
		return
	}
	if !was {
		q.logSuspect(b.Print, b.Part, after, q.Self)
	}
	if rank, _ := q.keeperRank(b.Print); rank < announcerRank {
		q.announceSoon(b.Print)
	}
	q.SendSoon()
}

// logSuspect logs that this gateway isolates requests with a cause from now on, and the gateway that counted its ends.
func (q *Quarantine) logSuspect(f fingerprint.Fingerprint, part bool, ends int, from string) {
	q.Log.Info().Stringer("print", f).Bool("part", part).Int("ends", ends).Str("by", from).
		Msg("request is isolated: endpoints have ended under it")
}

// wake has the requests that wait look again.
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

// keeperRank returns how many keepers of a cause rank before this gateway, and whether it is one.
func (q *Quarantine) keeperRank(f fingerprint.Fingerprint) (int, bool) {
	list := q.Keepers(f.String())
	i := slices.IndexFunc(list, func(m overlay.Member) bool { return m.Name == q.Self })
	if i < 0 {
		return len(list), false
	}
	return i, true
}

// wait waits for d, and reports whether the cause must still be written to the store then.
func (q *Quarantine) wait(ctx context.Context, f fingerprint.Fingerprint, d time.Duration) bool {
	pause.For(ctx, d)
	return ctx.Err() == nil && !q.isStored(f) && q.known.QuarantineLeft(f, time.Now()) > 0
}
