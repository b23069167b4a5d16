// Package quarantine keeps requests from endpoints when several endpoints have ended under
// them. A request comes again under another ID and at any gateway, so each gateway tells what
// ended under which request to a few that keep count for all; their verdict goes to the others
// with digests and to the store, where it outlives the gateways.
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

// The figures of the quarantine.
const (
	// enoughEnds is the number of endpoints that must have ended under a request before it is
	// kept from the others. Crashes that have nothing to do with a request hit the same one
	// twice where many endpoints end in a row, seldom three times within a second of its start.
	enoughEnds = 3
	// enoughUntried is the number that must have ended while none of them was an end of a try
	// apart from all other suspects. What comes at the same time at many gateways, beside one
	// that ends endpoints, may be at an end more each until the fleet knows of the second.
	enoughUntried = 6
	// toldFrom is the number of ends from which all gateways are told of a request: whichever
	// sees it run to its end says so.
	toldFrom = 2
	// triedFrom is the number of ends from which a request is tried apart from the others.
	triedFrom = toldFrom
	// lasts is how long a request is kept from endpoints, and how long an end counts: the
	// longest lease that the store grants.
	lasts = 10 * time.Minute
	// confirmTime is how long ends that others tell of are checked for.
	confirmTime = 3 * time.Second
	// toldTime is how long the word of others on the number of ends counts: a few digests, also
	// in a large fleet.
	toldTime = 3 * time.Second
	// leastLeft is the least time for which the word of others that a request is kept from
	// endpoints is taken over: what is left grows by the way of each digest, and would never end.
	leastLeft = time.Second
	// mostTold bounds the requests in a digest, some 20 bytes each.
	mostTold = 64
	// maxWrites bounds the requests whose write to the store is not begun.
	maxWrites = 256
)

// The events, as the metrics name them.
const (
	eventEnd   = "endpoint ended under request"
	eventBegun = "begun"
	eventTold  = "told by others"
)

// Quarantine is one gateway's part. Set the exported fields and call Init before anything
// else.
type Quarantine struct {
	// Self is the gateway's name.
	Self string
	// Keepers returns the gateways that keep count for a key.
	Keepers func(key string) []overlay.Member
	// Tell sends a datagram to gateways, News has a digest sent soon.
	Tell func(e *wire.Ends, to ...overlay.Member)
	News func()
	// Over reports whether a life of an endpoint has surely ended, and has one that may live
	// checked.
	Over func(suspects.Life) bool
	// Store keeps what is in quarantine.
	Store Store
	// Count counts an event.
	Count func(event string)
	Log   zerolog.Logger

	known  suspects.Suspects
	writes chan fingerprint.Fingerprint

	mu sync.Mutex // guards what follows
	// again is what is told once more: a datagram may be lost.
	again []message
	// doubtful are requests with enough ends that are not all sure, until when these are
	// checked.
	doubtful map[fingerprint.Fingerprint]time.Time
	// stored are those that the store holds.
	stored map[fingerprint.Fingerprint]bool
}

// message is a datagram on its way.
type message struct {
	ends *wire.Ends
	to   overlay.Member
}

// Init prepares for the other methods.
func (q *Quarantine) Init() {
	q.known.Lasts, q.known.SuspectFrom = lasts, triedFrom
	q.writes = make(chan fingerprint.Fingerprint, maxWrites)
	q.doubtful = make(map[fingerprint.Fingerprint]time.Time)
	q.stored = make(map[fingerprint.Fingerprint]bool)
}

// Run writes to the store what this gateway puts in quarantine, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-q.writes:
			group.Go(func() { q.keep(ctx, f) })
		}
	}
}

// Left returns how much longer a request is kept from endpoints at now, 0 when it is not.
func (q *Quarantine) Left(f fingerprint.Fingerprint, now time.Time) time.Duration {
	return q.known.Barred(f, now)
}

// Report notes that a life of an endpoint has surely ended under requests that it had just
// begun to run, and tells those that keep count.
func (q *Quarantine) Report(life suspects.Life, begun []suspects.Begun, now time.Time) {
	for _, b := range begun {
		q.Count(eventEnd)
		if _, keeps := q.turn(b.Print); keeps {
			q.note(b.Print, suspects.End{Life: life, Tried: b.Tried}, now)
			continue
		}
		// Only those that keep count hear when the request runs to its end elsewhere.
		q.known.Hear(b.Print, q.known.Ends(b.Print, now)+1, true, now, now.Add(toldTime))
	}
	q.tell(life, begun)
}

// Suspected reports whether a request is to be tried apart from all others that are.
func (q *Quarantine) Suspected(f fingerprint.Fingerprint, now time.Time) bool {
	return q.known.Ends(f, now) >= triedFrom
}

// Arrived notes that a request that is to be tried has come.
func (q *Quarantine) Arrived(f fingerprint.Fingerprint, now time.Time) {
	q.known.Arrived(f, now)
}

// Suspects returns the requests that are tried at now, or soon, apart from each other.
func (q *Quarantine) Suspects(now time.Time) []fingerprint.Fingerprint {
	return q.known.Recent(now)
}

// Survived notes that a request has run to its end.
func (q *Quarantine) Survived(f fingerprint.Fingerprint, now time.Time) {
	if q.known.Clear(f, now) {
		q.tell(suspects.Life{}, []suspects.Begun{{Print: f}})
	}
}

// tell tells those that keep count, and once more at the next Tick.
func (q *Quarantine) tell(life suspects.Life, begun []suspects.Begun) {
	to := make(map[string]message)
	for _, b := range begun {
		for _, m := range q.Keepers(b.Print.String()) {
			if m.Name == q.Self {
				continue
			}
			if _, known := to[m.Name]; !known {
				to[m.Name] = message{&wire.Ends{Gateway: q.Self, Endpoint: life.Endpoint, Born: life.Born}, m}
			}
			ends := to[m.Name].ends
			ends.Prints = append(ends.Prints, uint64(b.Print))
			if b.Tried {
				ends.Tried = append(ends.Tried, uint64(b.Print))
			}
		}
	}
	for _, one := range to {
		q.Tell(one.ends, one.to)
		q.mu.Lock()
		q.again = append(q.again, one)
		q.mu.Unlock()
	}
}

// Hear takes in what another gateway tells those that keep count.
func (q *Quarantine) Hear(e *wire.Ends, now time.Time) {
	for _, p := range e.GetPrints() {
		if e.GetEndpoint() == "" {
			q.known.Clear(fingerprint.Fingerprint(p), now)
			continue
		}
		life := suspects.Life{Endpoint: e.GetEndpoint(), Born: e.GetBorn()}
		q.note(fingerprint.Fingerprint(p), suspects.End{Life: life, Tried: slices.Contains(e.GetTried(), p)}, now)
	}
}

// Tick tells again what was told since the last one, and looks at the doubtful requests.
func (q *Quarantine) Tick(now time.Time) {
	q.mu.Lock()
	again := q.again
	q.again = nil
	q.mu.Unlock()
	for _, one := range again {
		q.Tell(one.ends, one.to)
	}
	q.Review(now)
}

// Review looks at the doubtful requests again: an endpoint has been checked.
func (q *Quarantine) Review(now time.Time) {
	q.mu.Lock()
	var doubtful []fingerprint.Fingerprint
	for f, until := range q.doubtful {
		if now.After(until) {
			delete(q.doubtful, f)
			continue
		}
		doubtful = append(doubtful, f)
	}
	q.mu.Unlock()
	for _, f := range doubtful {
		q.judge(f, q.known.Known(f, now), now)
	}
}

// note notes an end, and judges the request anew.
func (q *Quarantine) note(f fingerprint.Fingerprint, e suspects.End, now time.Time) {
	ends := q.known.Note(f, e, now)
	if len(ends) == toldFrom {
		q.News() // it is tried apart as soon as all know
	}
	q.judge(f, ends, now)
}

// enough reports whether ends show that it is the request that brings them about.
func enough(ends []suspects.End) bool {
	tried := slices.ContainsFunc(ends, func(e suspects.End) bool { return e.Tried })
	return len(ends) >= enoughUntried || tried && len(ends) >= enoughEnds
}

// judge puts a request into quarantine when enough lives have surely ended under it. The
// word of a gateway that is cut off is no proof: to it all endpoints seem to have ended.
func (q *Quarantine) judge(f fingerprint.Fingerprint, ends []suspects.End, now time.Time) {
	if !enough(ends) || q.known.Barred(f, now) > 0 {
		return
	}
	var sure []suspects.End
	for _, e := range ends {
		if q.Over(e.Life) {
			sure = append(sure, e)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !enough(sure) {
		if _, known := q.doubtful[f]; !known {
			q.doubtful[f] = now.Add(confirmTime)
		}
		return
	}
	delete(q.doubtful, f)
	if !q.known.Bar(f, now, now.Add(lasts)) {
		return
	}
	q.Count(eventBegun)
	q.Log.Warn().Stringer("print", f).Strs("ended", texts(sure)).Dur("lasts_ms", lasts).Msg("request is quarantined")
	q.News()
	q.write(f)
}

// texts returns the lives of ends as the log writes them, with those of tries marked.
func texts(ends []suspects.End) []string {
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

// Told returns what a digest of now tells of the quarantine.
func (q *Quarantine) Told(now time.Time) []*wire.Suspect {
	list := q.known.List(toldFrom, mostTold, now)
	told := make([]*wire.Suspect, 0, len(list))
	for _, s := range list {
		told = append(told, &wire.Suspect{
			Print: uint64(s.Print), Ends: uint32(s.Ends), LeftMillis: uint32(s.Left.Milliseconds()), Recent: s.Recent,
		})
	}
	return told
}

// Adopt takes in what a digest of another gateway tells.
func (q *Quarantine) Adopt(list []*wire.Suspect, from string, now time.Time) {
	for _, s := range list {
		f := fingerprint.Fingerprint(s.GetPrint())
		if s.GetEnds() > 0 {
			q.known.Hear(f, int(s.GetEnds()), s.GetRecent(), now, now.Add(toldTime))
		}
		left := min(time.Duration(s.GetLeftMillis())*time.Millisecond, lasts)
		if left >= leastLeft {
			q.adopt(f, left, from, now)
		}
	}
}

// adopt puts a request into quarantine by the word of others.
func (q *Quarantine) adopt(f fingerprint.Fingerprint, left time.Duration, from string, now time.Time) {
	if !q.known.Bar(f, now, now.Add(left)) {
		return
	}
	q.Count(eventTold)
	q.Log.Warn().Stringer("print", f).Str("by", from).Dur("lasts_ms", left).Msg("request is quarantined by the word of others")
}

// turn returns how many of those that keep count of a request come before this gateway, and
// reports whether it is one of them.
func (q *Quarantine) turn(f fingerprint.Fingerprint) (int, bool) {
	list := q.Keepers(f.String())
	i := slices.IndexFunc(list, func(m overlay.Member) bool { return m.Name == q.Self })
	if i < 0 {
		return len(list), false
	}
	return i, true
}

// wait waits for a time, and reports whether the request is still to be written then.
func (q *Quarantine) wait(ctx context.Context, f fingerprint.Fingerprint, d time.Duration) bool {
	pause.For(ctx, d)
	return ctx.Err() == nil && !q.isStored(f) && q.known.Barred(f, time.Now()) > 0
}
