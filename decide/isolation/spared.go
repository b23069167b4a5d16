package isolation

import "github.com/grademill/grademill/decide/layer"

// Holder is an endpoint of a model that serves.
type Holder struct {
	// ID is unique, Hall is the data hall.
	ID, Hall string
	// Layers are those that it holds; a chain may begin at it when the first one is among them.
	Layers layer.Range
}

// Spared returns the endpoints at which a chain may begin and that can be lost: those without which
// their hall still holds all that it held or, where there is none, without which the others together
// hold all layers that any does. Without the only holder of a layer no request could be served.
func Spared(holders []Holder) []string {
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
		case halls[h.Hall].spare(h.Layers):
			near = append(near, h.ID)
		case all.spare(h.Layers):
			far = append(far, h.ID)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// counts are the numbers of holders, by layer.
type counts map[int]int

// add counts a holder of layers.
func (c counts) add(r layer.Range) {
	for l := r.First; l < r.End; l++ {
		c[l]++
	}
}

// spare reports whether each of some layers has another holder.
func (c counts) spare(r layer.Range) bool {
	for l := r.First; l < r.End; l++ {
		if c[l] < 2 {
			return false
		}
	}
	return true
}
