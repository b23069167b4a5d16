package peers

// WantedUnit is one request per second in the unit of Usage.Wanted.
const WantedUnit = 1000

// Usage is the use of an endpoint by one or several gateways.
type Usage struct {
	// Active is the number of requests at the endpoint. Of these, Entered is the number whose chain
	// begins there, and Reading the number whose prompt is still being processed. Held is the
	// memory of all of them, in tokens times layers.
	Active, Entered, Held, Reading int64
	// Down is the number of gateways that recently got no answer from the endpoint.
	Down int64
	// Wanted is the rate of requests that would begin at the endpoint while it announces a limit,
	// in requests per second times WantedUnit.
	Wanted int64
}

// Plus returns the sum of two shares.
func (s Usage) Plus(t Usage) Usage {
	return Usage{
		Active: s.Active + t.Active, Entered: s.Entered + t.Entered, Held: s.Held + t.Held,
		Reading: s.Reading + t.Reading, Down: s.Down + t.Down, Wanted: s.Wanted + t.Wanted,
	}
}

// Negated returns the negative share, which undoes adding s.
func (s Usage) Negated() Usage {
	return Usage{
		Active: -s.Active, Entered: -s.Entered, Held: -s.Held, Reading: -s.Reading, Down: -s.Down, Wanted: -s.Wanted,
	}
}

// Counter sums the shares of the other gateways at one endpoint.
type Counter interface {
	// Count adds a share, or removes one that is negated.
	Count(s Usage)
}
