package quarantine

import (
	"sync"

	"github.com/grademill/grademill/decide/suspicion"
)

// maxNames limits the incarnations whose names are known.
const maxNames = 1024

// names keeps the names of incarnations, which gateways tell each other as hashes, for the log. The zero names is
// empty. It is safe for concurrent use.
type names struct {
	mu   sync.Mutex // guards list
	list map[suspicion.Life]string
}

// note keeps the name of an incarnation.
func (n *names) note(l suspicion.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list == nil || len(n.list) >= maxNames {
		n.list = make(map[suspicion.Life]string)
	}
	n.list[l.Life()] = l.String()
}

// of returns the names of the incarnations that have ended, or their hashes where the names are not known here;
// the isolated one is marked.
func (n *names) of(ends []suspicion.End, isolated suspicion.Life) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]string, 0, len(ends))
	for _, e := range ends {
		name, ok := n.list[e.Life]
		if !ok {
			name = e.Life.String()
		}
		if e.Life == isolated {
			name += " (tried apart)"
		}
		list = append(list, name)
	}
	return list
}
