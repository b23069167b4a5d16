package cause_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/cause"
	"github.com/grademill/grademill/decide/fingerprint"
)

func ExampleList() {
	list := cause.List(7, "assistant", []string{"5c1e07a2", "91bd3f06"})
	fmt.Println(cause.Strings(list))
	// Output: [7 91bd3f06=5200306086c3ceca 5c1e07a2=5121fb321e367d29]
}

// The same part of the prompts for two services are two causes, whichever requests have it.
func TestPartsAreOfAService(t *testing.T) {
	t.Parallel()
	one, other := cause.List(1, "a", []string{"p", "q"}), cause.List(2, "b", []string{"p"})
	require.Equal(t, fingerprint.OfPart("a", "p"), one[2].Print)
	require.NotEqual(t, one[2].Print, other[1].Print)
	require.Equal(t, one[1:], cause.List(3, "a", []string{"p", "q"})[1:])
}
