package site

import "sync"

// queues holds what the next requests that arrive at any endpoint of a service get, by service. The zero queues are
// empty.
type queues[T any] struct {
	mu   sync.Mutex
	next map[string][]T
}

// add appends values for the requests of a service, in the order of their arrival.
func (q *queues[T]) add(service string, values ...T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.next == nil {
		q.next = make(map[string][]T)
	}
	q.next[service] = append(q.next[service], values...)
}

// take removes and returns the value for the next request of a service, if there is one.
func (q *queues[T]) take(service string) (value T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	values := q.next[service]
	if len(values) == 0 {
		return value, false
	}
	q.next[service] = values[1:]
	return values[0], true
}
