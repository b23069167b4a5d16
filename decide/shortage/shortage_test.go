package shortage_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/shortage"
)

// Guards against a reason that hides why the last attempt ended.
func TestReasonNamesTheLastAttempt(t *testing.T) {
	require.Equal(t, "no chain has room", shortage.Room.Then(""))
	require.Equal(t, "no chain has room: the chain broke", shortage.Room.Then("the chain broke"))
}
