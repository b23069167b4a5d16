package peers

// WantedUnit is one request a second, as Share counts what is wanted.
const WantedUnit = 1000

// Share is what one or several gateways have at an endpoint.
type Share struct {
	// Active is the number of requests, Entered that of those whose chain begins there,
	// Held their memory in tokens times layers, and Reading the number of those whose
	// prompt is being read.
	Active, Entered, Held, Reading int64
	// Down is the number of gateways that lately got no answer of the endpoint.
	Down int64
	// Wanted is the number of requests that would begin there while the endpoint names a limit, as
	// multiples of one a second in WantedUnit.
	Wanted int64
}

// Plus returns the sum of two shares.
func (s Share) Plus(t Share) Share {
	return Share{
		Active: s.Active + t.Active, Entered: s.Entered + t.Entered, Held: s.Held + t.Held,
		Reading: s.Reading + t.Reading, Down: s.Down + t.Down, Wanted: s.Wanted + t.Wanted,
	}
}

// Negated returns what takes the share away again.
func (s Share) Negated() Share {
	return Share{
		Active: -s.Active, Entered: -s.Entered, Held: -s.Held, Reading: -s.Reading, Down: -s.Down, Wanted: -s.Wanted,
	}
}

// Counter sums the shares of the other gateways at one endpoint.
type Counter interface {
	// Count adds a share, or one that is negated.
	Count(s Share)
}
