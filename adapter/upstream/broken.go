package upstream

import (
	"errors"

	"github.com/grademill/grademill/adapter/responseconn"
)

// noteBroken calls onBroken if err reports an answer whose connection ended before the request was written. It returns
// err. A connection that ends before the head of an answer, or with the call, is none.
func (a *Answer) noteBroken(err error) error {
	var unsent *responseconn.UnsentError
	if a.body != nil && errors.As(err, &unsent) && a.onBroken != nil && a.ctx.Err() == nil {
		a.onBroken(err)
	}
	return err
}
