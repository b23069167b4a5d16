package gateway

import (
	"time"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/layerreport"
	"github.com/grademill/grademill/decide/pendingorder"
)

// noteLayers records the layers that the endpoint reported at a time.
func (b *backend) noteLayers(held layer.Range, at time.Time) {
	if held == b.Layers {
		b.use.layerreport.Store(nil)
		return
	}
	b.use.layerreport.Store(&layerreport.Report{Reported: held, Recorded: b.Layers, At: at})
}

// reportedLayers returns the layers that the endpoint reported, and whether they count beside its
// record.
func (b *backend) reportedLayers(now time.Time) (layer.Range, bool) {
	h := b.use.layerreport.Load()
	if h == nil || !h.Overrides(b.Layers, now, pendingorder.RecordLag) {
		return layer.Range{}, false
	}
	return h.Reported, true
}
