// Package fair queues work so that teams share capacity in proportion to their weights.
package fair

import "container/heap"

// Item is a unit of queued work.
type Item[T any] struct {
	// Team is the team that the work is for.
	Team string
	// Weight is the team's weight. A value below 1 counts as 1.
	Weight float64
	// Cost is the size of the work, such as its number of tokens.
	Cost float64
	// Priority is the work's class. Items of a higher class go first, whatever the teams' shares.
	Priority int
	// Value is the caller's payload.
	Value T

	start float64
	seq   uint64
	index int
}

// Queue is a bounded start-time fair queue. The zero Queue rejects all items; set Max first. It is
// not safe for concurrent use.
type Queue[T any] struct {
	// Max is the maximum number of items.
	Max int

	items       itemHeap[T]
	virtualTime float64
	finish      map[string]float64
	counts      map[string]int
	nextSeq     uint64
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Cost returns the total cost of the items of the given priority or a higher one.
func (q *Queue[T]) Cost(priority int) float64 {
	sum := 0.0
	for _, it := range q.items {
		if it.Priority >= priority {
			sum += it.Cost
		}
	}
	return sum
}

// Push adds an item. If the queue is full, Push removes the item that would be served last, which
// may be the new one, and returns that item and false. Otherwise it returns nil and true.
func (q *Queue[T]) Push(it *Item[T]) (displaced *Item[T], ok bool) {
	if q.Max <= 0 {
		return it, false
	}
	if q.finish == nil {
		q.finish = make(map[string]float64)
		q.counts = make(map[string]int)
	}
	it.seq = q.nextSeq
	q.nextSeq++
	it.start = max(q.virtualTime, q.finish[it.Team])
	q.finish[it.Team] = it.start + it.Cost/max(it.Weight, 1)
	q.counts[it.Team]++
	heap.Push(&q.items, it)
	if len(q.items) <= q.Max {
		return nil, true
	}
	last := q.last()
	q.Remove(last)
	return last, false
}

// last returns the item that would be served last.
func (q *Queue[T]) last() *Item[T] {
	worst := q.items[0]
	for _, it := range q.items[1:] {
		if before(worst, it) {
			worst = it
		}
	}
	return worst
}

// Peek returns the item that Pop would return, or nil if the queue is empty.
func (q *Queue[T]) Peek() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Pop removes and returns the next item, or nil if the queue is empty.
func (q *Queue[T]) Pop() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	it := heap.Pop(&q.items).(*Item[T])
	q.virtualTime = max(q.virtualTime, it.start)
	q.dropIdleTeams(it)
	return it
}

// Remove removes an item from the queue. It returns false if the item is not queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.index < 0 || it.index >= len(q.items) || q.items[it.index] != it {
		return false
	}
	heap.Remove(&q.items, it.index)
	q.finish[it.Team] -= it.Cost / max(it.Weight, 1)
	q.dropIdleTeams(it)
	return true
}

// dropIdleTeams updates the count of the item's team. Once the team has no queued items, it drops
// the finish times of all idle teams that the virtual time has reached, so that the queue's length
// bounds the memory.
func (q *Queue[T]) dropIdleTeams(it *Item[T]) {
	q.counts[it.Team]--
	if q.counts[it.Team] > 0 {
		return
	}
	delete(q.counts, it.Team)
	for team, finish := range q.finish {
		if finish <= q.virtualTime && q.counts[team] == 0 {
			delete(q.finish, team)
		}
	}
}

// before reports whether a is served before b.
func before[T any](a, b *Item[T]) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.seq < b.seq
}

type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return before(h[i], h[j]) }

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	it.index = -1
	*h = old[:len(old)-1]
	return it
}
