package shortage

// Search describes a search that found no chain, for the log.
type Search struct {
	// Need is the estimated number of tokens of the request.
	Need int
	// Open, Avoided and Crowded count the endpoints that hold layers, those that were avoided, and those
	// without enough memory.
	Open, Avoided, Crowded int
}
