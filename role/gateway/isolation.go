package gateway

import (
	"errors"
	"slices"
	"time"

	"github.com/grademill/grademill/decide/isolation"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/decide/suspicion"
	"github.com/grademill/grademill/decide/trial"
)

// spare returns the endpoints on which a suspect may be tried at now: those that can be spared beside the reserved ones.
func (g *Gateway) spare(q *query, now time.Time) []suspicion.Incarnation {
	f, reserved := g.fleet.Load(), g.quarantine.Reserved(now)
	var list []suspicion.Incarnation
	var holders []isolation.Holder
	layers := 0
	if q.service.Model != nil {
		layers = q.service.Model.Layers
	}
	for _, b := range f.Open[q.service.Name] {
		_, taken := reserved[b.ID]
		switch {
		case taken || b.use.avoided(now):
		case b.Card == "":
			list = append(list, b.incarnation())
		default:
			holders = append(holders, isolation.Holder{ID: b.ID, Hall: b.Hall, Layers: b.usable(now)})
		}
	}
	for _, id := range isolation.Expendable(holders, layers) {
		list = append(list, f.ByID[id].incarnation())
	}
	return slices.DeleteFunc(list, func(l suspicion.Incarnation) bool { return q.avoids(f.ByID[l.Endpoint].Address, now) })
}

// awaitIsolation waits until a request may be sent, until a given time if its caller has part of the answer. A request that
// is no suspect need not wait. It returns the reason why the request may not be sent.
func (g *Gateway) awaitIsolation(q *query, begun bool, until time.Time) shortage.Shortage {
	q.guard.End(q.reached.Swap(false))
	wait := time.Until(until)
	if !begun {
		wait = min(trial.MaxWait, q.timeLeft(time.Now()))
	}
	if errors.As(q.guard.Enter(q.r.Context(), wait, begun), &q.refused) {
		return shortage.Quarantine
	}
	q.refused = nil
	return shortage.None
}
