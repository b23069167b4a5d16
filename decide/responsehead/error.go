package responsehead

// MalformedError reports a part of a response that is not well-formed.
type MalformedError struct {
	// Part names the part, such as "head".
	Part   string
	Reason string
}

// Error returns the part and the reason.
func (e *MalformedError) Error() string {
	return "malformed " + e.Part + ": " + e.Reason
}
