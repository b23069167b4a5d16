package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/grademill/grademill/adapter/pause"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/decide/suspicion"
	"github.com/grademill/grademill/state/suspects"
	wire "github.com/grademill/grademill/wire/gossip"
)

// notifyKeepers sends the ends to the keepers of the causes, and once more at the next Tick.
func (q *Quarantine) notifyKeepers(incarnation suspicion.Incarnation, begun []suspects.Begun, now time.Time) {
	to, members := make(map[string][]suspects.Begun), make(map[string]overlay.Member)
	for _, b := range begun {
		keeps, missing := false, 0
		for _, m := range q.Keepers(b.Print.String()) {
			if m.Name == q.Self {
				keeps = true
				continue
			}
			to[m.Name], members[m.Name] = append(to[m.Name], b), m
			missing = min(missing+1, answers)
		}
		if incarnation.Endpoint != "" && !keeps {
			q.mu.Lock()
			q.unanswered[b.Print] = reported{at: now, missing: missing}
			q.mu.Unlock()
		}
	}
	for name, list := range to {
		for part := range slices.Chunk(list, maxReported) {
			q.sendTwice(&wire.Packet{Ends: q.encodeEnds(incarnation, part, now)}, members[name])
		}
	}
}

// encodeEnds returns the ends of an incarnation as keepers are told.
func (q *Quarantine) encodeEnds(incarnation suspicion.Incarnation, begun []suspects.Begun, now time.Time) *wire.Ends {
	ends := &wire.Ends{Gateway: q.Self, Endpoint: incarnation.Endpoint, Born: incarnation.Born}
	for _, b := range begun {
		var ran time.Duration
		if at := q.known.LastRun(b.Print); b.Part && !at.IsZero() {
			ran = max(now.Sub(at), time.Millisecond)
		}
		ends.Prints, ends.Parts = append(ends.Prints, uint64(b.Print)), append(ends.Parts, b.Part)
		ends.AgesMillis = append(ends.AgesMillis, uint32(b.Age.Milliseconds()))
		ends.RanMillis = append(ends.RanMillis, uint32(ran.Milliseconds()))
	}
	return ends
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
		for i, p := range e.GetPrints() {
			q.clear(fingerprint.Fingerprint(p), now.Add(-ageAt(e.GetAgesMillis(), i)), now)
		}
		return
	}
	incarnation := suspicion.Incarnation{Endpoint: e.GetEndpoint(), Born: e.GetBorn()}
	q.ended.note(incarnation, now)
	answer := &wire.Suspects{Gateway: q.Self, Answer: true}
	for i, p := range e.GetPrints() {
		f := fingerprint.Fingerprint(p)
		b := suspects.Begun{Print: f, Age: ageAt(e.GetAgesMillis(), i), Part: i < len(e.GetParts()) && e.GetParts()[i]}
		var ranAt time.Time
		if ran := ageAt(e.GetRanMillis(), i); ran > 0 {
			ranAt = now.Add(-ran)
		}
		q.record(b, suspicion.End{Life: incarnation.Life(), Age: b.Age}, ranAt, now)
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

// ageAt returns the i-th of some times, 0 where the sender is a former build that tells none.
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

// announceSoon has a cause announced to all gateways.
func (q *Quarantine) announceSoon(f fingerprint.Fingerprint) {
	q.mu.Lock()
	q.announced[f] = true
	q.mu.Unlock()
	select {
	case q.announcing <- struct{}{}:
	default: // pending already
	}
}

// announce tells all gateways of causes until ctx ends.
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

// Reports returns the entries of a digest sent at now: the quarantined causes and the suspects that this
// gateway counts, or for the digest of a hall all that it knows.
func (q *Quarantine) Reports(now time.Time, hall bool) []*wire.Suspect {
	list := q.known.List(suspicion.From, maxReported, !hall, now)
	reports := make([]*wire.Suspect, 0, len(list))
	for _, s := range list {
		reports = append(reports, q.describe(s))
	}
	return reports
}

// describe returns what is known of a cause as other gateways are told.
func (q *Quarantine) describe(s suspects.Suspect) *wire.Suspect {
	d := &wire.Suspect{
		Print: uint64(s.Print), Ends: uint32(s.Count), LeftMillis: uint32(s.QuarantineLeft.Milliseconds()), Recent: s.Recent,
		AgeMillis: uint32(max(s.Since.Milliseconds(), 0)), Cleared: s.Cleared, Part: s.Part, RanMillis: uint32(s.Ran.Milliseconds()),
	}
	for _, e := range s.Ends {
		d.Lives, d.AgesMillis = append(d.Lives, uint32(e.Life)), append(d.AgesMillis, uint32(e.Age.Milliseconds()))
	}
	if t := q.trials.Last(s.Print); t.Revision > 0 {
		d.Trial = encodeTrial(t)
	}
	return d
}

// HearSuspects processes what another gateway tells of causes.
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

// HearReports processes the suspected and quarantined causes that another gateway reports.
func (q *Quarantine) HearReports(list []*wire.Suspect, from string, now time.Time) {
	changed := false
	for _, w := range list {
		f := fingerprint.Fingerprint(w.GetPrint())
		s := suspects.Suspect{
			Print: f, Part: w.GetPart(), Count: int(w.GetEnds()), Since: time.Duration(w.GetAgeMillis()) * time.Millisecond,
			Cleared: w.GetCleared(), Ran: time.Duration(w.GetRanMillis()) * time.Millisecond, Recent: w.GetRecent(),
			QuarantineLeft: min(time.Duration(w.GetLeftMillis())*time.Millisecond, quarantineTime),
		}
		for i, l := range w.GetLives() {
			s.Ends = append(s.Ends, suspicion.End{Life: suspicion.Life(l), Age: ageAt(w.GetAgesMillis(), i)})
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
		was := q.known.Suspected(f, now)
		before, after := q.known.Merge(s, now)
		if !was && q.known.Suspected(f, now) {
			q.logSuspect(f, s.Part, after, from)
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

// adopt quarantines a cause on the report of another gateway or of the store.
func (q *Quarantine) adopt(f fingerprint.Fingerprint, left time.Duration, ends []suspicion.End, from string, now time.Time) {
	if !q.known.SetQuarantine(f, now, now.Add(left), ends...) {
		return
	}
	q.Count(eventReported)
	q.Log.Warn().Stringer("print", f).Str("by", from).Dur("lasts_ms", left).Msg("request is quarantined by the word of others")
	q.wake()
}
