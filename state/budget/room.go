package budget

import "github.com/grademill/grademill/decide/roomshare"

// Room is the share of the free memory and of the free slots of one endpoint that a gateway may take.
// Memory is in tokens times layers. The zero Room allows everything. It is safe for concurrent use.
type Room struct {
	memory, slots Budget
}

// AllowsMemory reports whether a request that needs this much memory may be placed.
func (r *Room) AllowsMemory(need float64) bool { return r.memory.Allows(need) }

// AllowsSlot reports whether a request whose chain begins at the endpoint may be placed.
func (r *Room) AllowsSlot() bool { return r.slots.Allows(1) }

// Take counts a request that has been placed. first is set if its chain begins at the endpoint: only
// such a request takes a slot.
func (r *Room) Take(memory float64, first bool) {
	if first {
		r.slots.Take(1)
	}
	r.memory.Take(memory)
}

// GiveBack undoes a Take whose request is given up without being sent.
func (r *Room) GiveBack(memory float64, first bool) {
	if first {
		r.slots.GiveBack(1)
	}
	r.memory.GiveBack(memory)
}

// Release counts a placed request that has ended.
func (r *Room) Release(memory float64, first bool) {
	if first {
		r.slots.Release(1)
	}
	r.memory.Release(memory)
}

// Reject counts a request that the endpoint rejected for lack of room.
func (r *Room) Reject() { r.memory.Reject() }

// ampleShare is the part of the room of an endpoint above which free room is not shared out: all
// gateways together take less than that before they hear of each other.
const ampleShare = 0.25

// Ample reports whether so much of the total room of an endpoint is free that it is not shared out.
func Ample(free, total float64) bool { return free > ampleShare*total }

// Lift ends the limits until the next Begin.
func (r *Room) Lift() {
	r.memory.Lift()
	r.slots.Lift()
}

// Part is the memory or the slots of an endpoint at the beginning of a round.
type Part struct {
	// Total is all that the endpoint has, Own what the gateway's own requests use, and Free what the
	// requests of all gateways leave free, as far as known.
	Total, Own, Free float64
	// Typical is what a typical request needs.
	Typical float64
}

// Round describes an endpoint at the beginning of a round.
type Round struct {
	Memory, Slots Part
	// Share is the gateway's share of the free room, or of all room if it is isolated: it then does
	// not know the requests of the other gateways.
	Share    float64
	Isolated bool
	// Turnover is the part of the requests that ends within a round, 0 if unknown.
	Turnover float64
}

// Begin begins a round.
func (r *Room) Begin(round Round) {
	r.memory.Begin(round.of(round.Memory))
	r.slots.Begin(round.of(round.Slots))
}

// of returns the round of the memory or of the slots.
func (r Round) of(p Part) roomshare.Round {
	if r.Isolated {
		return roomshare.IsolatedRound(p.Total, p.Own, r.Share, p.Typical, r.Turnover)
	}
	share := r.Share
	if Ample(p.Free, p.Total) {
		share = 1
	}
	return roomshare.Round{Free: p.Free, Share: share, Typical: p.Typical, Turnover: r.Turnover}
}
