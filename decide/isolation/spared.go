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

// Expendable returns the endpoints at which a chain can start and whose loss leaves no layers
// uncovered: those whose layers are all held by other endpoints of their hall as well. If there
// are none, it returns those whose layers are all held by other endpoints of any hall. Without the
// only holder of a layer no request could be served.
func Expendable(holders []Holder) []string {
	halls, all := make(map[string]counts), counts{}
	for _, h := range holders {
		if halls[h.Hall] == nil {
			halls[h.Hall] = counts{}
		}
		halls[h.Hall].add(h.Layers)
		all.add(h.Layers)
	}
	var near, far []string
	for _, h := range holders {
		switch {
		case h.Layers.Empty() || h.Layers.First > 0:
		case halls[h.Hall].redundant(h.Layers):
			near = append(near, h.ID)
		case all.redundant(h.Layers):
			far = append(far, h.ID)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// counts holds the number of holders by layer.
type counts map[int]int

// add counts a holder of the given layers.
func (c counts) add(r layer.Range) {
	for l := r.First; l < r.End; l++ {
		c[l]++
	}
}

// redundant reports whether each of the given layers has another holder.
func (c counts) redundant(r layer.Range) bool {
	for l := r.First; l < r.End; l++ {
		if c[l] < 2 {
			return false
		}
	}
	return true
}
