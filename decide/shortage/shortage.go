// Package shortage names the reasons why a request gets no endpoint, for its answer and the logs.
package shortage

// Shortage is such a reason, empty for none.
type Shortage string

// Reasons. The retry budget has others.
const (
	None   Shortage = ""
	Layers Shortage = "no chain holds all layers"
	Room   Shortage = "no chain has room"
	// Held means that no endpoint at which the chain could begin accepts requests for now.
	Held Shortage = "endpoints take no more requests for now"
	// Silent means that no other chain answers, Resumed that one does again.
	Silent  Shortage = "no other chain answers"
	Resumed Shortage = "another chain answers again"
	// Fleet means that the fleet sheds requests of this class and team.
	Fleet Shortage = "the fleet has no room for this class"
	// Caller means that the caller has left, Quarantine that the request is in quarantine.
	Caller     Shortage = "the caller has left"
	Quarantine Shortage = "endpoints have ended under the request"
)

// Then returns the reason why there is no further attempt, followed by why the last one ended, if there was
// one.
func (s Shortage) Then(last string) string {
	if last == "" {
		return string(s)
	}
	return string(s) + ": " + last
}
