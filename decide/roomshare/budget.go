// Package roomshare limits how much of the free memory of a shared endpoint each gateway may take
// between two reports, so that gateways that know each other's use late do not all take the same
// free memory.
package roomshare

const (
	// FillShare is the part of the known free memory that all gateways together may take in one
	// round. The rest covers what other gateways took since their last reports. With 0.7, 16 in 1,000
	// requests that need ten endpoints are rejected by one of them (30 gateways).
	FillShare = 0.7
	// sharedPerRound is the part of the memory in use that gateways leave to each other in a round
	// when their requests end. A gateway that starts at full endpoints holds its share after 6 to
	// 8 s. With 0.03 one more hundredth of the memory is idle.
	sharedPerRound = 0.02
	// unknownKept is the part of the unknown use that is kept in each round. With 0.95 it is
	// forgotten within about 3 s at rounds of 150 ms, the duration of a request; with 0.98 an
	// endpoint was less than 0.9 full for some seconds after a partition.
	unknownKept = 0.95
)

// Round describes an endpoint at the start of a round, as one gateway knows it. Memory is in tokens
// times layers, or in requests for the slots of a first endpoint.
type Round struct {
	// Free is the memory that no known request holds. It is negative if the reports add up to more
	// than the endpoint has.
	Free float64
	// Share is this gateway's share of the free memory, from 0 to 1.
	Share float64
	// Typical is the memory that a typical request needs.
	Typical float64
	// Turnover is the part of the memory in use that is freed during a round: the digest interval
	// divided by the duration of a request, 0 if unknown.
	Turnover float64
	// Isolated is set if Free does not come from reports. Rejections then say nothing about them.
	Isolated bool
}

// IsolatedRound describes an endpoint to a gateway that hears no other gateway although others are
// announced: the free memory is unknown, so the gateway may hold up to its share of the whole
// memory. held is the memory that its own requests hold. A share of 0 allows nothing.
func IsolatedRound(whole, held, share, typical, turnover float64) Round {
	if share <= 0 {
		return Round{Free: -1, Share: 1, Typical: typical, Turnover: turnover, Isolated: true}
	}
	return Round{Free: whole - held/share, Share: share, Typical: typical, Turnover: turnover, Isolated: true}
}

// Budget is the memory of one endpoint that one gateway may still take in the current round. It is
// immutable. The zero Budget allows every request: an endpoint without a round is not limited.
type Budget struct {
	// limited is set once there has been a round.
	limited bool
	// credit is the memory left to take. It is negative after a request that needed more.
	credit float64
	// typical is that of the last round.
	typical float64
	// free is the free memory that reports show in this round less unknown, 0 after a rejection.
	free float64
	// unknown is the use of the endpoint that no report shows, as learned from rejections.
	unknown float64
	// reuse is the part of freed memory that this gateway may take again at once.
	reuse float64
}

// WithRound returns the budget at the start of a round, one per digest interval. Credit that was
// not used is kept up to what the round adds, or up to a typical request if that is more, so that a
// gateway whose share is less than a request can place one every few rounds. While Free is
// negative the credit is at most this gateway's share of the excess.
func (b Budget) WithRound(r Round) Budget {
	b.unknown *= unknownKept
	free := r.Free
	if free >= 0 && !r.Isolated {
		free = max(free-b.unknown, 0)
	}
	limit := r.Share * free
	if free >= 0 {
		added := limit * FillShare
		b.credit += added
		limit = max(added, r.Typical)
	}
	b.free = max(free, 0)
	if r.Isolated {
		b.free = 0
	}
	b.credit = min(b.credit, limit)
	b.reuse = 0
	if r.Turnover > sharedPerRound {
		b.reuse = 1 - sharedPerRound/r.Turnover
	}
	b.typical, b.limited = r.Typical, true
	return b
}

// Allows reports whether a request that needs this much memory may be placed. The credit has to
// cover a typical request only, so that large requests are not delayed for ever.
func (b Budget) Allows(need float64) bool {
	return !b.limited || b.credit >= min(need, b.typical)
}

// WithRequest returns the budget after a request was sent to the endpoint.
func (b Budget) WithRequest(need float64) Budget {
	b.credit -= need
	return b
}

// WithoutRequest returns the budget after a request that was counted by WithRequest is given up without
// being sent.
func (b Budget) WithoutRequest(need float64) Budget {
	b.credit += need
	return b
}

// WithRelease returns the budget after a request of this gateway that the endpoint had accepted
// freed this much memory.
func (b Budget) WithRelease(freed float64) Budget {
	b.credit += b.reuse * freed
	return b
}

// WithRejection returns the budget after the endpoint rejected a request for lack of memory: the
// memory assumed to be free is in use. The request stays charged.
func (b Budget) WithRejection() Budget {
	b.unknown += b.free
	b.free = 0
	return b
}
