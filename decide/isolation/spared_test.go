package isolation_test

import (
	"fmt"
	"math"

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
	fmt.Println(isolation.Expendable(north, 20))
	fmt.Println(isolation.Expendable(north[:1], 20))
	fmt.Println(isolation.Expendable([]isolation.Holder{of("large-1", "north", 0, 20), of("large-2", "south", 0, 20)}, 20))
	// No chain through the north can start at its small cards once its large one is lost.
	south := []isolation.Holder{of("small-3", "north", 0, 8), of("large-2", "south", 0, 14), of("small-4", "south", 0, 8), of("small-5", "south", 14, 20)}
	fmt.Println(isolation.Expendable(append(north[1:], south...), 20))
	fmt.Println(isolation.Expendable(north[1:], 20))
	// A record may claim layers that no model has.
	fmt.Println(isolation.Expendable(append(north, of("odd", "north", 0, math.MaxInt)), 20))
	// Output:
	// [small-1]
	// []
	// [large-1 large-2]
	// [small-4]
	// []
	// [large-1 small-1 odd]
}
