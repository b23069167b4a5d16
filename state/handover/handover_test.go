package handover_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/state/handover"
)

// answerLength is the number of positions of the answers in the model.
const answerLength = 3

// attempt is one attempt in the model: it answers one position after another, and may break before each.
type attempt struct {
	next   int
	ended  bool
	broken bool
}

// model plays one order of events on a request whose attempt and successors are attempts.
type model struct {
	h       handover.Handover[*attempt]
	current *attempt
	tried   *attempt
	// received are the positions that the caller has got.
	received []string
	over     bool
}

// events are the events that may come in any order. Each returns false where it cannot come.
var events = map[string]func(m *model) bool{
	"answer": func(m *model) bool {
		a := m.current
		if m.over || a.ended || a.broken || a.next > answerLength {
			return false
		}
		if position := strconv.Itoa(a.next); m.h.Proceed(position) {
			m.received = append(m.received, position)
		}
		a.next++
		return true
	},
	"break": func(m *model) bool {
		if m.over || m.current.broken || m.current.ended {
			return false
		}
		m.current.broken = true
		return true
	},
	"try": func(m *model) bool {
		if m.over || m.tried != nil {
			return false
		}
		tried := new(attempt)
		position, ok := m.h.Begin(func() { tried.ended = true })
		if !ok {
			return false
		}
		m.tried = tried
		tried.next = 1
		if position != "" {
			last, _ := strconv.Atoi(position)
			tried.next = last + 1
		}
		return true
	},
	"successor begins": func(m *model) bool {
		if m.tried == nil {
			return false
		}
		if m.h.Succeed(m.tried) {
			m.current.ended = true
		} else {
			m.h.Fail()
		}
		m.tried = nil
		return true
	},
	"successor fails": func(m *model) bool {
		if m.tried == nil {
			return false
		}
		m.h.Fail()
		m.tried = nil
		return true
	},
	"end": func(m *model) bool { // the answering goroutine finds its attempt over
		a := m.current
		if m.over || m.tried != nil || !a.broken && !a.ended && a.next <= answerLength {
			return false
		}
		whole := !a.broken && !a.ended && m.h.Proceed(strconv.Itoa(answerLength))
		next, ok := m.h.End(whole)
		m.over = whole || !ok
		if ok {
			m.current = next
		}
		return true
	},
}

// Guards against an attempt that is given up for a successor that then fails, and against positions that come twice or
// not at all: all orders of events.
func TestAttemptIsGivenUpOnlyForASuccessorThatHasBegun(t *testing.T) {
	orders := 0
	var play func(order []string)
	play = func(order []string) {
		m := &model{current: &attempt{next: 1}}
		m.h.Start("")
		for _, name := range order {
			if !events[name](m) {
				return // this order cannot happen
			}
			require.False(t, m.current.ended && m.tried != nil, "given up before the successor has begun: %v", order)
			for i, position := range m.received {
				require.Equal(t, strconv.Itoa(i+1), position, "%v", order)
			}
		}
		orders++
		if m.over {
			lost := !m.current.broken && len(m.received) < answerLength
			require.False(t, lost, "a sound attempt was lost: %v", order)
			return
		}
		if len(order) < 8 {
			for name := range events {
				play(append(append([]string(nil), order...), name))
			}
		}
	}
	play(nil)
	require.Greater(t, orders, 1000)
}

// Guards against a request that ends while its successor is still being tried.
func TestEndWaitsForASuccessorThatIsTried(t *testing.T) {
	for _, succeeds := range []bool{true, false} {
		t.Run(fmt.Sprint(succeeds), func(t *testing.T) {
			var h handover.Handover[string]
			_, ok := h.Begin(func() {})
			require.False(t, ok, "there is no attempt")
			h.Start("")
			require.True(t, h.Proceed("1"))
			position, ok := h.Begin(func() {})
			require.True(t, ok)
			require.Equal(t, "1", position)
			_, ok = h.Begin(func() {})
			require.False(t, ok, "one at a time")
			go func() {
				if !succeeds {
					h.Fail()
					return
				}
				h.Succeed("next")
			}()
			next, ok := h.End(false)
			require.Equal(t, succeeds, ok)
			require.Equal(t, succeeds, next == "next")
			_, ok = h.Begin(func() {})
			require.Equal(t, succeeds, ok, "the successor is the attempt")
		})
	}
}
