// Package gossip exchanges digests of endpoint usage between gateways over UDP, so that each
// gateway knows how loaded the shared endpoints are.
//
// In a large fleet each gateway sends its own digest to the gateways of its hall, and one delegate
// of each hall sends the sums of its hall to the other halls. In a small fleet each gateway sends
// its digest to all others. Set the exported fields of [Gossip], call Init, then Run.
package gossip

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/state/peers"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Intervals and limits of the exchange.
const (
	// hallInterval is the time between two digests of a gateway. A stream lasts for seconds, so
	// usage changes little in between. Among more than [overlay.FlatSize] gateways the interval
	// grows in proportion, so that each sends and receives no more.
	hallInterval = 150 * time.Millisecond
	// sumsInterval is the time between two sums of a hall. Requests from another hall are a small
	// share of the load.
	sumsInterval = 300 * time.Millisecond
	// sumsIntervalUses is the number of endpoints up to which sums are sent every sumsInterval.
	// With more, the interval grows in proportion, since every gateway decodes them. The fleets in
	// use today have half as many.
	sumsIntervalUses = 256
	// minUpdateInterval is the minimum time between two digests when there are updates: the failure
	// of an endpoint makes several within milliseconds, which go into one digest.
	minUpdateInterval = 40 * time.Millisecond
	// settleRounds is the number of digests for which a gateway that has just started does not act
	// as the delegate of its hall: when all gateways of a hall start at once, each would otherwise act
	// as the delegate, since it has not heard the others yet.
	settleRounds = 2
	// missedDigests is the number of digests that a gateway may miss before it is considered ended
	// and its usage is dropped.
	missedDigests = 6
	// missedDigestsAnnounced is the same for a gateway that is announced in the store but has not
	// been heard, since it may be about to start; minAbsence is the minimum time before it is
	// considered absent.
	missedDigestsAnnounced = 2 * missedDigests
	// midsizeFleet is the largest fleet in which every digest of a gateway carries loads. In a larger
	// one they are in every second digest while the gateway has room for all its requests: 58 bytes of
	// loads in each would take 4.6 kB/s.
	midsizeFleet = 68
	// keptLoadDigests is the number of digest intervals for which the loads of a gateway count while
	// its digests carry none, so that the loss of one digest does not drop them.
	keptLoadDigests = 4
	minAbsence      = 8 * time.Second
	// linkShare is the share of the host's link that digests may use, so that requests take
	// precedence; linkBurst is the time for which unused bandwidth may be saved up.
	linkShare = 0.08
	linkBurst = time.Second
	// maxDatagram is the largest payload of a UDP datagram, in bytes.
	maxDatagram = 65507
)

// Local is the gateway on whose behalf digests are sent and received.
type Local interface {
	// Digest returns the gateway's usage without the fields that identify the sender. For the sums
	// of a hall, others holds the shares of its other gateways by endpoint, and demands their
	// demands by service, which are added. Both are nil for the gateway's own digest. The loads
	// come from [EncodeLoads].
	Digest(now time.Time, others map[string]peers.Usage, demands map[string]demand.Demand) *wire.Digest
	// HandleDigest handles a digest of another gateway whose shares have been counted.
	HandleDigest(d *wire.Digest, now time.Time)
	// HandleLoss handles the report that an endpoint does not answer another gateway.
	HandleLoss(l *wire.Loss, now time.Time)
	// HandleEnds handles another gateway's report of endpoints that have ended while they ran
	// requests.
	HandleEnds(e *wire.Ends, now time.Time)
	// HandleSuspects handles what another gateway tells of requests that may crash endpoints.
	HandleSuspects(s *wire.Suspects, now time.Time)
	// Tick is called before each digest.
	Tick(now time.Time)
}

// Gossip exchanges digests. Set the exported fields, then call Init and Run.
type Gossip struct {
	// Self is this gateway, Incarnation its current incarnation.
	Self        overlay.Member
	Incarnation uint64
	Local       Local
	Peers       *peers.Table
	// FlatFleetSize is the largest fleet in which each gateway sends its digest to all others, 0
	// for [overlay.FlatSize].
	FlatFleetSize int
	// LinkRate is the bandwidth of the host's link in bytes per second, 0 if unknown. If it is
	// unknown, digests are not limited.
	LinkRate float64
	// Listen opens the socket at an address; nil means UDP.
	Listen func(address string) (net.PacketConn, error)
	// Sent counts the bytes of a digest that was sent, or that was dropped because it exceeded the
	// share of the link.
	Sent func(bytes int, dropped bool)
	Log  zerolog.Logger

	// current is the fleet as of the last round.
	current atomic.Pointer[overlay.Overlay]
	// interval is the interval between digests as of the last round, in nanoseconds.
	interval atomic.Int64
	updates  chan struct{}
	// socket is nil until Run has opened it.
	socket atomic.Pointer[net.PacketConn]
	budget *rate.Limiter
	// number is the number of the last digest.
	number uint64
	// started is when Run was called.
	started time.Time
	// sumsDue is when the next sums of the hall are due, sumsSent how often they have been sent.
	sumsDue  time.Time
	sumsSent int
	// relayed is when sums of each other hall were last forwarded: several gateways may act as
	// delegates of a hall while they do not hear each other. Only receive accesses it.
	relayed map[string]time.Time
	// loadsDue is when the gateway's own digest is to carry loads again.
	loadsDue time.Time
	// heardLoads holds the last loads of gateways. Only receive accesses it.
	heardLoads heardLoads
}

// Overlay returns the fleet as of the last digest.
func (s *Gossip) Overlay() overlay.Overlay {
	if o := s.current.Load(); o != nil {
		return *o
	}
	return overlay.Overlay{Self: s.Self}
}

// Init prepares for SendSoon and Run.
func (s *Gossip) Init() {
	s.updates = make(chan struct{}, 1)
	s.relayed = make(map[string]time.Time)
	s.budget = rate.NewLimiter(rate.Inf, 0)
	if s.LinkRate > 0 {
		perSecond := linkShare * s.LinkRate
		s.budget = rate.NewLimiter(rate.Limit(perSecond), int(max(perSecond*linkBurst.Seconds(), maxDatagram)))
	}
}

// SendSoon triggers an early digest.
func (s *Gossip) SendSoon() {
	select {
	case s.updates <- struct{}{}:
	default: // an early digest is pending already
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
		s.Log.Error().Err(err).Msg("gossip socket not opened: no digests are received from other gateways")
		return
	}
	defer socket.Close() //nolint:errcheck // datagrams that are not read
	s.socket.Store(&socket)
	go s.receive(socket)
	s.started = time.Now()
	for ctx.Err() == nil {
		interval := s.round(time.Now())
		s.wait(ctx, interval)
	}
	s.farewell()
}

// round sends the digests that are due at now, and returns the time until the next round.
func (s *Gossip) round(now time.Time) time.Duration {
	s.Local.Tick(now)
	s.Peers.MarkAbsent(now, max(missedDigestsAnnounced*s.DigestInterval(), minAbsence))
	d := s.digest(now, nil, nil, 0)
	d.EveryMillis = uint32(s.DigestInterval().Milliseconds())
	o := overlay.Overlay{Self: s.Self, Others: s.Peers.Members(s.Self.Name), FlatFleetSize: s.FlatFleetSize}
	o.Self.StoreUnreachable = d.GetCut()
	s.current.Store(&o)
	interval := hallInterval * time.Duration(max(len(o.DigestPeers()), overlay.FlatSize)) / overlay.FlatSize
	s.interval.Store(int64(interval))
	s.Peers.Expire(now, missedDigests, hallInterval)
	s.spaceLoads(d, o.Size(), interval, now)
	s.Send(&wire.Packet{Digest: d}, o.DigestPeers()...)
	settled := now.Sub(s.started) >= settleRounds*interval // otherwise no peer has been heard yet
	if settled && o.IsDelegate() && !now.Before(s.sumsDue) {
		s.sumsDue = now.Add(s.sendSums(o, now))
	}
	return interval
}

// DigestInterval returns the time between two digests to the gateways of the own hall.
func (s *Gossip) DigestInterval() time.Duration {
	return max(time.Duration(s.interval.Load()), hallInterval)
}

// sendSums sends the sums of this hall to one gateway of each other hall, which forwards them
// there. It returns the time until the next sums are due, which grows with their size.
func (s *Gossip) sendSums(o overlay.Overlay, now time.Time) time.Duration {
	shares, demands, members, proven := s.Peers.Sum(s.Self.Hall)
	d := s.digest(now, shares, demands, members+1)
	if age := now.Sub(proven); !proven.IsZero() && (!d.GetProven() || age < millis(d.GetProofAgeMillis())) {
		d.Proven, d.ProofAgeMillis = true, uint32(max(age.Milliseconds(), 0))
	}
	every := sumsInterval * time.Duration(max(len(d.GetUses()), sumsIntervalUses)) / sumsIntervalUses
	d.EveryMillis = uint32(every.Milliseconds())
	s.sumsSent++
	for _, hall := range o.Halls() {
		s.Send(&wire.Packet{Digest: d}, o.Relay(hall, s.sumsSent))
	}
	return every
}

// digest returns this gateway's own usage, or with members the sums of its hall.
func (s *Gossip) digest(now time.Time, others map[string]peers.Usage, demands map[string]demand.Demand, members int) *wire.Digest {
	s.number++
	d := s.Local.Digest(now, others, demands)
	d.Gateway, d.Incarnation, d.Number, d.Hall = s.Self.Name, s.Incarnation, s.number, s.Self.Hall
	d.LinkMegabits = s.Self.LinkMegabits
	d.Members = uint32(members)
	return d
}

// wait waits until the next round is due. After a call of SendSoon it waits for at most
// minUpdateInterval more.
func (s *Gossip) wait(ctx context.Context, every time.Duration) {
	begun := time.Now()
	due := time.NewTimer(every)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return
	case <-due.C:
		return
	case <-s.updates:
	}
	due.Reset(min(minUpdateInterval, every-time.Since(begun)))
	select {
	case <-ctx.Done():
	case <-due.C:
	}
}

// farewell tells the other gateways that this one uses no endpoints any more.
func (s *Gossip) farewell() {
	s.number++
	last := &wire.Digest{Gateway: s.Self.Name, Incarnation: s.Incarnation, Number: s.number, Hall: s.Self.Hall}
	s.Send(&wire.Packet{Digest: last}, s.Overlay().DigestPeers()...)
}

// Send sends a datagram to some gateways, as far as the share of the link allows. A lost or dropped
// digest is made up for by the next one.
func (s *Gossip) Send(p *wire.Packet, to ...overlay.Member) {
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
		s.Log.Warn().Int("bytes", len(text)).Msg("datagram not sent: larger than UDP allows")
		return
	}
	for _, m := range to {
		if !s.budget.AllowN(time.Now(), len(text)) {
			s.Sent(len(text), true)
			continue
		}
		address, err := net.ResolveUDPAddr("udp4", m.Address)
		if err != nil {
			s.Log.Warn().Err(err).Str("address", m.Address).Msg("address of a gateway not resolved")
			continue
		}
		_, _ = (*socket).WriteTo(text, address) // the next digest makes up for a lost one
		s.Sent(len(text), false)
	}
}

// receive receives datagrams until the socket is closed.
func (s *Gossip) receive(socket net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		p := new(wire.Packet)
		if err := proto.Unmarshal(buffer[:n], p); err != nil {
			s.Log.Debug().Err(err).Stringer("from", from).Msg("datagram not decoded")
			continue
		}
		switch {
		case p.GetLoss() != nil:
			s.Local.HandleLoss(p.GetLoss(), time.Now())
		case p.GetSuspects() != nil:
			s.Local.HandleSuspects(p.GetSuspects(), time.Now())
		case p.GetEnds() != nil:
			s.Local.HandleEnds(p.GetEnds(), time.Now())
		case p.GetDigest() != nil:
			s.handleDigest(p.GetDigest(), from.String(), time.Now())
		}
	}
}

// ReportLoss tells all other gateways immediately that an endpoint does not answer this one.
func (s *Gossip) ReportLoss(endpoint string) {
	s.Send(&wire.Packet{Loss: &wire.Loss{Gateway: s.Self.Name, Endpoint: endpoint}}, s.Overlay().Others...)
}

// handleDigest handles a digest, and forwards sums of another hall to the gateways of this one.
func (s *Gossip) handleDigest(d *wire.Digest, from string, now time.Time) {
	if d.GetGateway() == s.Self.Name {
		return
	}
	r := peers.Report{
		From: overlay.Member{
			Name: d.GetGateway(), Address: from, Hall: d.GetHall(), StoreUnreachable: d.GetCut(), LinkMegabits: d.GetLinkMegabits(),
		},
		Incarnation: d.GetIncarnation(), Number: d.GetNumber(), Members: int(d.GetMembers()),
		Interval: millis(d.GetEveryMillis()), Partial: d.GetPartialOutages(),
		Shares: make(map[string]peers.Usage, len(d.GetUses())), Demands: DecodeLoads(d.GetLoads()),
	}
	if r.Members == 0 {
		r.Demands = s.heardLoads.update(r, now)
	}
	if d.GetRelayed() {
		r.From.Address = d.GetAddress()
	}
	if d.GetProven() {
		r.Proven = now.Add(-millis(d.GetProofAgeMillis()))
	}
	for _, use := range d.GetUses() {
		r.Shares[use.GetEndpoint()] = peers.Usage{
			Active: int64(use.GetActive()), Entered: int64(use.GetEntered()), Held: int64(use.GetHeld()),
			Reading: int64(use.GetReading()), Down: int64(use.GetDown()), Wanted: int64(use.GetWantedMillis()),
		}
	}
	if !s.Peers.AddReport(r, s.Self, now) {
		return
	}
	s.Local.HandleDigest(d, now)
	if r.Members > 0 && !d.GetRelayed() && now.Sub(s.relayed[r.From.Hall]) >= sumsInterval/2 {
		s.relayed[r.From.Hall] = now
		d.Relayed, d.Address = true, from
		s.Send(&wire.Packet{Digest: d}, s.Overlay().PeersIn(s.Self.Hall)...)
	}
}

func millis(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}
