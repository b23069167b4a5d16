package connection_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/connection"
)

// rule is how the model closes connections.
type rule int

const (
	// byReader is the rule under test: the reader closes, after it has found nothing to read.
	byReader rule = iota
	// byDeadline has the reader close when its read deadline has expired.
	byDeadline
	// bySweeps has another goroutine close what is overdue, by the recorded state, at two sweeps in a row.
	bySweeps
)

// The parts of requests that the caller sends. It sends a request once it has the response to the one before.
const (
	headStart = iota
	headEnd
	bodyEnd
)

// parts are those of all requests: without a body, with one, without.
var parts = []int{headStart, headEnd, headStart, headEnd, bodyEnd, headStart, headEnd}

// reading is where the goroutine is that reads the connection; any other one may run between two of its steps.
type reading int

const (
	atRead     reading = iota // about to call or in the system call
	atBytes                   // the system call has returned a part
	atDeadline                // it has returned that the deadline has expired
	atOver                    // a wait is over
	atRest                    // not reading
)

// serving is where the HTTP server is with a request.
type serving int

const (
	noRequest serving = iota
	headRead
	handling // the handler runs
	draining // the handler has returned, and the rest of the body is read
	writing  // the response is to be written
	written
	aborting // the background read is to end
	ending   // the response is to be written, and then the connection closed
)

// model is a connection with all that acts on it. It is comparable.
type model struct {
	state       connection.State
	now         time.Time
	armed, want time.Time
	reader      reading
	then        connection.Expiry
	serving     serving
	// background is set while the reader reads for the next request during the handling of one.
	background bool
	// sent, read and answered count parts and requests.
	sent, read, answered int
	// short is set once the configuration has shortened the limits, told once the connection was told so, and stopped
	// once the server stops.
	short, told, stopped bool
	// overdue is the number of parts read that a sweep has found overdue, plus one; 0 for none.
	overdue     int
	closed      bool
	lost, given bool
}

// tick is how far the time jumps: longer than all limits but the long idle limit, which two jumps exceed.
const tick = time.Hour

// limits returns the limits in force.
func (m model) limits() connection.Limits {
	if m.short {
		return connection.Limits{Idle: time.Millisecond, Head: time.Millisecond, Retire: true}
	}
	return connection.Limits{Idle: tick + 1, Head: time.Minute}
}

// arm sets the read deadline of the socket.
func (m model) arm() model {
	until, _ := m.state.Wait(m.limits())
	if until.IsZero() || !m.want.IsZero() && m.want.Before(until) {
		until = m.want
	}
	m.armed = until
	return m
}

// whole reports whether the caller has sent a whole request that has no response.
func (m model) whole() bool {
	requests := 0
	for i := range m.sent {
		if i+1 == len(parts) || parts[i+1] == headStart {
			requests++
		}
	}
	return requests > m.answered
}

// close closes the connection. A request is lost if it was whole and nothing has given it up.
func (m model) close() model {
	m.lost = m.lost || m.whole() && !m.given
	m.closed = true
	return m
}

// next returns the models after each step that may be taken.
func (m model) next(r rule) []model {
	if m.closed {
		return nil
	}
	var all []model
	add := func(m model) { all = append(all, m) }
	if m.sent < len(parts) && (parts[m.sent] != headStart || m.answered == m.requestsSent()) {
		n := m
		n.sent++
		add(n)
	}
	if m.now.Sub(start) < 4*tick {
		n := m
		n.now = n.now.Add(tick)
		add(n)
	}
	if !m.short {
		n := m
		n.short = true
		add(n)
	}
	if m.short && !m.told {
		n := m
		n.told = true
		add(n.arm())
	}
	if !m.stopped {
		n := m
		n.stopped, n.state = true, n.state.WithStop()
		add(n.arm())
	}
	if r == bySweeps {
		add(m.sweep())
	}
	all = append(all, m.readStep(r)...)
	return append(all, m.serveStep()...)
}

// requestsSent returns how many requests have been sent whole or in part.
func (m model) requestsSent() int {
	n := 0
	for _, p := range parts[:m.sent] {
		if p == headStart {
			n++
		}
	}
	return n
}

// sweep closes the connection by its recorded state if it is overdue at two sweeps in a row and nothing is unread.
func (m model) sweep() model {
	until, then := m.state.Wait(m.limits())
	held := 0
	if m.reader == atBytes {
		held = 1
	}
	switch {
	case then == connection.ReadOn || m.now.Before(until) || m.sent > m.read+held:
		m.overdue = 0
	case m.overdue == m.read+1:
		return m.close()
	default:
		m.overdue = m.read + 1
	}
	return m
}

// readStep returns the models after the next step of the reader.
func (m model) readStep(r rule) []model {
	expired := !m.armed.IsZero() && !m.now.Before(m.armed)
	switch m.reader {
	case atRead:
		switch {
		case expired:
			m.reader = atDeadline
		case m.sent > m.read:
			m.reader = atBytes
		default:
			return nil
		}
	case atBytes:
		m.reader, m.read = atRest, m.read+1
		m.state = m.state.WithBytes(m.now, m.limits())
		return []model{m.arm().receive(parts[m.read-1])}
	case atDeadline:
		until, then := m.state.Wait(m.limits())
		switch {
		case !m.want.IsZero() && !m.now.Before(m.want):
			m.reader = atRest
		case then == connection.ReadOn || m.now.Before(until):
			m.reader = atRead
			m = m.arm()
		case r == bySweeps:
			m.reader, m.armed = atRead, time.Time{}
		default:
			m.reader, m.then = atOver, then
		}
	case atOver:
		switch {
		case r == byReader && m.sent > m.read:
			m.reader = atBytes
		case m.then == connection.EndBody:
			m.reader, m.serving = atRest, ending
		default:
			return []model{m.close()}
		}
	case atRest:
		return nil
	}
	return []model{m}
}

// receive returns the model after the HTTP server has got a part.
func (m model) receive(part int) model {
	switch part {
	case headStart:
		m.state = m.state.WithBuffered(m.now, m.limits())
		m.reader = atRead
	case headEnd:
		m.state = m.state.WithPart()
		m.serving = headRead
	case bodyEnd:
		m.state = m.state.WithPart()
		m.reader, m.background = atRead, true
		if m.serving == draining {
			m.serving = writing
		}
	}
	return m.arm()
}

// serveStep returns the models after the next step of the HTTP server. Only it writes.
func (m model) serveStep() []model {
	handled := func(m model, to serving) model {
		m.serving, m.state = to, m.state.WithHandled(m.now, m.limits())
		return m.arm()
	}
	hasBody := m.read < len(parts) && parts[m.read] == bodyEnd
	switch m.serving {
	case headRead:
		m.serving, m.reader = handling, atRead
		if !hasBody {
			m.state, m.background = m.state.WithPart(), true
		}
		m.state = m.state.WithResponse(m.limits())
		return []model{m.arm()}
	case handling:
		if !m.background { // the handler reads the body, or returns without
			return []model{handled(m, draining)}
		}
		return []model{handled(m, writing)}
	case writing:
		m.serving, m.answered = written, m.answered+1
	case written:
		m.serving, m.want = aborting, start.Add(-tick)
		return []model{m.arm()}
	case aborting:
		if m.reader != atRest {
			return nil
		}
		m.serving, m.background, m.want = noRequest, false, time.Time{}
		m.state, m.reader = m.state.WithIdle(m.now, m.limits()), atRead
		return []model{m.arm()}
	case ending:
		m.answered, m.given = m.answered+1, true
		return []model{m.close()}
	case noRequest, draining:
		return nil
	}
	return []model{m}
}

// explore visits all models that can be reached under a rule. It returns their number, that of those in which all
// requests are answered, and the steps to one in which a request is lost, nil if there is none.
func explore(r rule) (visited, done int, lost []model) {
	first := model{state: connection.Accepted(start, connection.Limits{Idle: tick + 1, Head: time.Minute}), now: start}.arm()
	from := map[model]model{first: {}}
	for queue := []model{first}; len(queue) > 0; queue = queue[1:] {
		m := queue[0]
		if m.lost {
			for ; m != (model{}); m = from[m] {
				lost = append(lost, m)
			}
			return len(from), done, lost
		}
		if m.answered == 3 {
			done++
		}
		next := m.next(r)
		m.lost = len(next) == 0 && !m.closed && m.whole() // nothing would serve it
		if m.lost {
			return len(from), done, []model{m}
		}
		for _, n := range next {
			if _, seen := from[n]; !seen {
				from[n] = m
				queue = append(queue, n)
			}
		}
	}
	return len(from), done, nil
}

// Guards against an order of reads, limits, stops, responses and times without processor time in which the server closes
// a connection with a whole request that has no response.
func TestWholeRequestIsNotOnAConnectionThatIsClosed(t *testing.T) {
	visited, done, lost := explore(byReader)
	require.Nil(t, lost)
	require.Positive(t, done)
	t.Logf("%d states, %d with all responses", visited, done)
}

// The model finds the losses of rules that close by what is recorded, or by a deadline alone.
func TestModelFindsLostRequests(t *testing.T) {
	for _, r := range []rule{byDeadline, bySweeps} {
		visited, _, lost := explore(r)
		require.NotNil(t, lost)
		t.Logf("rule %d: lost after %d steps, %d states", r, len(lost), visited)
	}
}
