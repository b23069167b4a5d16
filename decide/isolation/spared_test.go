package isolation_test

import (
	"fmt"

	"github.com/grademill/grademill/decide/isolation"
	"github.com/grademill/grademill/decide/layer"
)

// The large card of each hall is the only one there that holds layers 8 to 13. If the south loses
// its card, the north's must not be lost as well.
func ExampleExpendable() {
	of := func(id, hall string, first, end int) isolation.Holder {
		return isolation.Holder{ID: id, Hall: hall, Layers: layer.Range{First: first, End: end}}
	}
	north := []isolation.Holder{
		of("large-1", "north", 0, 14), of("small-1", "north", 0, 8), of("small-2", "north", 14, 20),
	}
	fmt.Println(isolation.Expendable(north))
	fmt.Println(isolation.Expendable(north[:1]))
	fmt.Println(isolation.Expendable([]isolation.Holder{of("large-1", "north", 0, 20), of("large-2", "south", 0, 20)}))
	// Output:
	// [small-1]
	// []
	// [large-1 large-2]
}
