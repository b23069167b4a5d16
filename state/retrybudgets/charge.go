package retrybudgets

import (
	"time"

	"github.com/grademill/grademill/decide/retry"
)

// lostGrace is how much later a retry without an answer may arrive: an endpoint may be silent for a
// second or so, and what a link loses is sent again after about as long.
const lostGrace = 2 * time.Second

// Charge is one retry that a request has taken from a budget. The request that took it ends it by
// Sent, Lost or Return; only the first of these calls has an effect. It is safe for concurrent use. A
// nil Charge is that of an attempt that is no retry.
type Charge struct {
	budget *Budget
	// ended is guarded by the budget's lock.
	ended bool
}

// Sent records that the retry was sent and has arrived.
func (c *Charge) Sent(now func() time.Time) {
	c.end(func(b *retry.Budget) { b.Sent(now()) })
}

// Lost records that the retry was sent and got no answer: it may still be on its way.
func (c *Charge) Lost(now func() time.Time) {
	c.end(func(b *retry.Budget) { b.Sent(now().Add(lostGrace)) })
}

// Return gives back the retry, which was not sent.
func (c *Charge) Return() {
	c.end((*retry.Budget).Return)
}

// end ends the retry unless it has ended.
func (c *Charge) end(end func(*retry.Budget)) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.ended {
		c.ended = true
		end(&c.budget.budget)
	}
}
