package retry

// State is what a budget counts at one time.
type State struct {
	// FirstAttempts is the number of first attempts in the last window.
	FirstAttempts int
	// Pending is the number of retries that are allowed and not sent yet, Sent the number of those
	// sent in the last window.
	Pending, Sent int
	// Allowed is how many retries may be pending or sent.
	Allowed float64
}
