// Package isolation decides at which endpoints requests that may crash them begin, so that few endpoints are lost and
// few harmless requests are suspected.
package isolation

import "github.com/grademill/grademill/decide/layer"

// Holder is an endpoint that serves layers of a model.
type Holder struct {
	// ID is the unique name of the endpoint, Hall its data hall.
	ID, Hall string
	// Layers are the layers that it holds. A chain can start at it if they include the first one.
	Layers layer.Range
}

// Expendable returns the endpoints at which a chain through all layers can start and whose loss leaves no layers
// uncovered. It prefers those whose layers are all held by other endpoints of their hall as well, and then those whose
// hall holds the other layers, since chains stay within a hall as a rule. Without the only holder of a layer no request
// could be served.
func Expendable(holders []Holder, layers int) []string {
	halls, all := make(map[string]counts), counts{}
	holders = within(holders, layers)
	for _, h := range holders {
		if halls[h.Hall] == nil {
			halls[h.Hall] = counts{}
		}
		halls[h.Hall].add(h.Layers)
		all.add(h.Layers)
	}
	var near, far, across []string
	for _, h := range holders {
		hall, rest := halls[h.Hall], layer.Range{First: h.Layers.End, End: layers}
		switch {
		case h.Layers.Empty() || h.Layers.First > 0 || !all.hold(h.Layers, 2) || !all.hold(rest, 1):
		case !hall.hold(rest, 1):
			across = append(across, h.ID)
		case hall.hold(h.Layers, 2):
			near = append(near, h.ID)
		default:
			far = append(far, h.ID)
		}
	}
	for _, list := range [][]string{near, far} {
		if len(list) > 0 {
			return list
		}
	}
	return across
}

// within returns the holders with only those of their layers that the model has: a record may claim any.
func within(holders []Holder, layers int) []Holder {
	list := make([]Holder, 0, len(holders))
	for _, h := range holders {
		h.Layers = h.Layers.Intersect(layer.Range{End: layers})
		list = append(list, h)
	}
	return list
}

// counts holds the number of holders by layer.
type counts map[int]int

// add counts a holder of the given layers.
func (c counts) add(r layer.Range) {
	for l := r.First; l < r.End; l++ {
		c[l]++
	}
}

// hold reports whether each of the given layers has at least n holders.
func (c counts) hold(r layer.Range, n int) bool {
	for l := r.First; l < r.End; l++ {
		if c[l] < n {
			return false
		}
	}
	return true
}
