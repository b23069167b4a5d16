// Package gossip exchanges digests with the other gateways: each tells those of its
// hall what it uses, and one of each hall tells the other halls the sums. In a small
// fleet each tells all.
package gossip

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/state/peers"
	wire "github.com/grademill/grademill/wire/gossip"
)

// The figures of what gateways tell each other.
const (
	// nearEvery is the time between two digests of a gateway. A stream lives for
	// seconds, so what is held changes little in between. Among more than
	// overlay.FlatSize gateways it grows, so that each sends and gets no more.
	nearEvery = 150 * time.Millisecond
	// farEvery is the time between two sums of a hall: what begins in another hall is
	// a small part.
	farEvery = 300 * time.Millisecond
	// usualUses is the number of endpoints up to which sums are told so often; with more it
	// is seldomer in proportion, since every gateway reads them. The users' fleets of today
	// have half as many.
	usualUses = 256
	// newsEvery is the least time between two digests when there is news: a death
	// makes several within milliseconds, which go together.
	newsEvery = 40 * time.Millisecond
	// settleRounds is the number of digests for which a gateway that has just started
	// speaks for nobody: in a hall whose gateways all start at once each would.
	settleRounds = 2
	// missed is the number of digests after which a gateway that sends none is taken
	// to have ended, with all it used.
	missed = 6
	// missedAnnounced is the same for one that the store names, which may be about to start, and
	// leastAbsent the least time after which it counts as absent.
	missedAnnounced = 2 * missed
	leastAbsent     = 8 * time.Second
	// linkShare is the part of the host's link that digests may fill, so that requests
	// go first; linkBurst is how long it may be saved up.
	linkShare = 0.08
	linkBurst = time.Second
	// maxDatagram is the largest that UDP carries.
	maxDatagram = 65507
)

// Local is the gateway whose digests are sent.
type Local interface {
	// Digest returns what the gateway uses, without what names the sender. With sums
	// it adds what the given shares of the other gateways of its hall hold.
	Digest(now time.Time, others map[string]peers.Share) *wire.Digest
	// Heard takes in a digest of another gateway, whose shares have been counted.
	Heard(d *wire.Digest, now time.Time)
	// Lost takes in that an endpoint gives another gateway no answer.
	Lost(l *wire.Loss, now time.Time)
	// Ended takes in what another gateway tells of the ends of endpoints under requests.
	Ended(e *wire.Ends, now time.Time)
	// Tick is called before each digest.
	Tick(now time.Time)
}

// Gossip exchanges digests. Set the exported fields before Run.
type Gossip struct {
	// Self is this gateway, Incarnation this life of it.
	Self        overlay.Member
	Incarnation uint64
	// Local is the gateway itself.
	Local Local
	// Peers are the other gateways.
	Peers *peers.Table
	// FlatUpTo is the size of a fleet up to which all tell all, 0 for overlay.FlatSize.
	FlatUpTo int
	// LinkRate is what the host's link carries, in bytes a second; 0 when it is not
	// known.
	LinkRate float64
	// Listen opens the socket at an address; nil for UDP.
	Listen func(address string) (net.PacketConn, error)
	// Sent counts the bytes of a digest that was sent, or that had no part of the link.
	Sent func(bytes int, dropped bool)
	Log  zerolog.Logger

	// current is the fleet by the last look.
	current atomic.Pointer[overlay.Overlay]
	// every is the time between two digests by that look, in nanoseconds.
	every atomic.Int64
	news  chan struct{}
	// socket is nil until Run has opened it.
	socket atomic.Pointer[net.PacketConn]
	budget *rate.Limiter
	number uint64
	// begun is when Run began.
	begun time.Time
	// farDue is when the sums of the hall are due, spoken how often they were sent.
	farDue time.Time
	spoken int
	// relayed is when sums of each other hall were last passed on: several gateways may
	// speak for a hall while they do not hear each other. Only hear uses it.
	relayed map[string]time.Time
}

// Overlay returns the fleet as it was at the last digest.
func (s *Gossip) Overlay() overlay.Overlay {
	if o := s.current.Load(); o != nil {
		return *o
	}
	return overlay.Overlay{Self: s.Self}
}

// Init prepares for News and Run.
func (s *Gossip) Init() {
	s.news = make(chan struct{}, 1)
	s.relayed = make(map[string]time.Time)
	s.budget = rate.NewLimiter(rate.Inf, 0)
	if s.LinkRate > 0 {
		perSecond := linkShare * s.LinkRate
		s.budget = rate.NewLimiter(rate.Limit(perSecond), int(max(perSecond*linkBurst.Seconds(), maxDatagram)))
	}
}

// News has a digest sent soon.
func (s *Gossip) News() {
	select {
	case s.news <- struct{}{}:
	default: // one that is due soon tells all
	}
}

// Run exchanges digests until ctx ends.
func (s *Gossip) Run(ctx context.Context) {
	listen := s.Listen
	if listen == nil {
		listen = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp4", address) }
	}
	socket, err := listen(s.Self.Address)
	if err != nil {
		s.Log.Error().Err(err).Msg("nothing is heard of other gateways")
		return
	}
	defer socket.Close() //nolint:errcheck // datagrams that are not read
	s.socket.Store(&socket)
	go s.hear(socket)
	s.begun = time.Now()
	for ctx.Err() == nil {
		every := s.round(time.Now())
		s.wait(ctx, every)
	}
	s.farewell()
}

// round tells the others what is due at now, and returns when the next round is.
func (s *Gossip) round(now time.Time) time.Duration {
	s.Local.Tick(now)
	s.Peers.Miss(now, max(missedAnnounced*s.Every(), leastAbsent))
	d := s.digest(now, nil, 0)
	d.EveryMillis = uint32(s.Every().Milliseconds())
	o := overlay.Overlay{Self: s.Self, Others: s.Peers.Members(s.Self.Name), FlatUpTo: s.FlatUpTo}
	o.Self.Cut = d.GetCut()
	s.current.Store(&o)
	every := nearEvery * time.Duration(max(len(o.Audience()), overlay.FlatSize)) / overlay.FlatSize
	s.every.Store(int64(every))
	s.Peers.Expire(now, missed, nearEvery)
	s.send(&wire.Packet{Digest: d}, o.Audience()...)
	settled := now.Sub(s.begun) >= settleRounds*every // else nobody has been heard yet
	if settled && o.Delegate() && !now.Before(s.farDue) {
		s.farDue = now.Add(s.speak(o, now))
	}
	return every
}

// Every returns the time between two digests of a gateway to those of its hall.
func (s *Gossip) Every() time.Duration {
	return max(time.Duration(s.every.Load()), nearEvery)
}

// speak tells the other halls the sums of this one: whoever hears them there passes them
// on. It returns when the next ones are due: the more they hold, the later.
func (s *Gossip) speak(o overlay.Overlay, now time.Time) time.Duration {
	shares, members, proven := s.Peers.Sum(s.Self.Hall)
	d := s.digest(now, shares, members+1)
	if age := now.Sub(proven); !proven.IsZero() && (!d.GetProven() || age < millis(d.GetProofAgeMillis())) {
		d.Proven, d.ProofAgeMillis = true, uint32(max(age.Milliseconds(), 0))
	}
	every := farEvery * time.Duration(max(len(d.GetUses()), usualUses)) / usualUses
	d.EveryMillis = uint32(every.Milliseconds())
	s.spoken++
	for _, hall := range o.Halls() {
		s.send(&wire.Packet{Digest: d}, o.Relay(hall, s.spoken))
	}
	return every
}

// digest returns what this gateway uses, or with members what its hall does.
func (s *Gossip) digest(now time.Time, others map[string]peers.Share, members int) *wire.Digest {
	s.number++
	d := s.Local.Digest(now, others)
	d.Gateway, d.Incarnation, d.Number, d.Hall = s.Self.Name, s.Incarnation, s.number, s.Self.Hall
	d.LinkMegabits = s.Self.LinkMegabits
	d.Members = uint32(members)
	return d
}

// wait waits for the next round, or for news.
func (s *Gossip) wait(ctx context.Context, every time.Duration) {
	begun := time.Now()
	due := time.NewTimer(every)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return
	case <-due.C:
		return
	case <-s.news:
	}
	due.Reset(min(newsEvery, every-time.Since(begun)))
	select {
	case <-ctx.Done():
	case <-due.C:
	}
}

// farewell tells the other gateways that this one uses nothing more.
func (s *Gossip) farewell() {
	s.number++
	last := &wire.Digest{Gateway: s.Self.Name, Incarnation: s.Incarnation, Number: s.number, Hall: s.Self.Hall}
	s.send(&wire.Packet{Digest: last}, s.Overlay().Audience()...)
}

// send sends a datagram to some gateways, as far as these have a part of the link. The
// next one makes up for what is lost.
func (s *Gossip) send(p *wire.Packet, to ...overlay.Member) {
	socket := s.socket.Load()
	if len(to) == 0 || socket == nil {
		return
	}
	text, err := proto.Marshal(p)
	if err != nil {
		s.Log.Error().Err(err).Msg("datagram not encoded")
		return
	}
	if len(text) > maxDatagram {
		s.Log.Warn().Int("bytes", len(text)).Msg("a datagram is too large, and is not sent")
		return
	}
	for _, m := range to {
		if !s.budget.AllowN(time.Now(), len(text)) {
			s.Sent(len(text), true)
			continue
		}
		address, err := net.ResolveUDPAddr("udp4", m.Address)
		if err != nil {
			s.Log.Warn().Err(err).Str("address", m.Address).Msg("address of a gateway not understood")
			continue
		}
		_, _ = (*socket).WriteTo(text, address) // the next digest makes up for a lost one
		s.Sent(len(text), false)
	}
}

// hear takes digests in until the socket is closed.
func (s *Gossip) hear(socket net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		p := new(wire.Packet)
		if err := proto.Unmarshal(buffer[:n], p); err != nil {
			s.Log.Debug().Err(err).Stringer("from", from).Msg("datagram not understood")
			continue
		}
		switch {
		case p.GetLoss() != nil:
			s.Local.Lost(p.GetLoss(), time.Now())
		case p.GetEnds() != nil:
			s.Local.Ended(p.GetEnds(), time.Now())
		default:
			s.take(p.GetDigest(), from.String(), time.Now())
		}
	}
}

// TellLoss tells all other gateways at once that an endpoint gives this one no answer.
func (s *Gossip) TellLoss(endpoint string) {
	s.send(&wire.Packet{Loss: &wire.Loss{Gateway: s.Self.Name, Endpoint: endpoint}}, s.Overlay().Others...)
}

// TellEnds tells some gateways of the ends of endpoints under requests.
func (s *Gossip) TellEnds(e *wire.Ends, to ...overlay.Member) {
	s.send(&wire.Packet{Ends: e}, to...)
}

// take takes a digest in, and passes one of another hall on to the gateways of this one.
func (s *Gossip) take(d *wire.Digest, from string, now time.Time) {
	if d.GetGateway() == s.Self.Name {
		return
	}
	r := peers.Report{
		From: overlay.Member{
			Name: d.GetGateway(), Address: from, Hall: d.GetHall(), Cut: d.GetCut(), LinkMegabits: d.GetLinkMegabits(),
		},
		Incarnation: d.GetIncarnation(), Number: d.GetNumber(), Members: int(d.GetMembers()),
		Every: millis(d.GetEveryMillis()), Partial: d.GetPartialOutages(),
		Shares: make(map[string]peers.Share, len(d.GetUses())),
	}
	if d.GetRelayed() {
		r.From.Address = d.GetAddress()
	}
	if d.GetProven() {
		r.Proven = now.Add(-millis(d.GetProofAgeMillis()))
	}
	for _, use := range d.GetUses() {
		r.Shares[use.GetEndpoint()] = peers.Share{
			Active: int64(use.GetActive()), Entered: int64(use.GetEntered()), Held: int64(use.GetHeld()),
			Reading: int64(use.GetReading()), Down: int64(use.GetDown()), Wanted: int64(use.GetWantedMillis()),
		}
	}
	if !s.Peers.Hear(r, s.Self, now) {
		return
	}
	s.Local.Heard(d, now)
	if r.Members > 0 && !d.GetRelayed() && now.Sub(s.relayed[r.From.Hall]) >= farEvery/2 {
		s.relayed[r.From.Hall] = now
		d.Relayed, d.Address = true, from
		s.send(&wire.Packet{Digest: d}, s.Overlay().In(s.Self.Hall)...)
	}
}

// millis returns a number of milliseconds as a duration.
func millis(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}
