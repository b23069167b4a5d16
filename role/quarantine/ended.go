package quarantine

import (
	"sync"
	"time"

	"github.com/grademill/grademill/decide/suspicion"
)

// maxEnded limits the incarnations that are kept.
const maxEnded = 1024

// ended keeps the incarnations that this gateway knows to have ended, with their names, since gateways tell each other
// hashes. The zero ended is empty. It is safe for concurrent use.
type ended struct {
	mu   sync.Mutex // guards list
	list map[suspicion.Life]endedAt
}

// endedAt is the name of an incarnation, and when its end became known.
type endedAt struct {
	name string
	at   time.Time
}

// note keeps an incarnation whose end has become known.
func (n *ended) note(l suspicion.Incarnation, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list == nil || len(n.list) >= maxEnded {
		n.list = make(map[suspicion.Life]endedAt)
	}
	if _, known := n.list[l.Life()]; !known {
		n.list[l.Life()] = endedAt{l.String(), now}
	}
}

// around returns the incarnations whose end became known at most window before or after that of a given one.
func (n *ended) around(l suspicion.Life, window time.Duration) []suspicion.Life {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []suspicion.Life
	for other, e := range n.list {
		if known, ok := n.list[l]; ok && other != l && e.at.Sub(known.at).Abs() <= window {
			list = append(list, other)
		}
	}
	return list
}

// names returns the names of the incarnations that have ended, or their hashes where the names are not known here;
// the isolated one is marked.
func (n *ended) names(ends []suspicion.End, isolated suspicion.Life) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]string, 0, len(ends))
	for _, e := range ends {
		known, ok := n.list[e.Life]
		if !ok {
			known.name = e.Life.String()
		}
		if e.Life == isolated {
			known.name += " (tried apart)"
		}
		list = append(list, known.name)
	}
	return list
}
