// Package cause names what a request has in common with others under which endpoints have ended.
package cause

import (
	"github.com/grademill/grademill/decide/fingerprint"
)

// Cause is a possible cause of the ends of endpoints: a request, or a part of the prompts of several requests.
type Cause struct {
	// Print identifies the cause in the whole fleet.
	Print fingerprint.Fingerprint
	// Part is the ID of the part, empty if the cause is a request.
	Part string
}

// List returns the possible causes of a request to a service, from the narrowest to the broadest: the request itself,
// and the parts of its prompt that it shares with others, of which later ones are in fewer prompts.
func List(request fingerprint.Fingerprint, service string, parts []string) []Cause {
	list := make([]Cause, 1, 1+len(parts))
	list[0].Print = request
	for i := range parts {
		part := parts[len(parts)-1-i]
		list = append(list, Cause{Print: fingerprint.OfPart(service, part), Part: part})
	}
	return list
}

// Prints returns the fingerprints of causes.
func Prints(list []Cause) []fingerprint.Fingerprint {
	prints := make([]fingerprint.Fingerprint, 0, len(list))
	for _, c := range list {
		prints = append(prints, c.Print)
	}
	return prints
}

// Strings returns causes as written in the logs.
func Strings(list []Cause) []string {
	var text []string
	for _, c := range list {
		text = append(text, c.String())
	}
	return text
}

// String returns the cause as written in the logs: its fingerprint, after the ID of a part.
func (c Cause) String() string {
	if c.Part == "" {
		return c.Print.String()
	}
	return c.Part + "=" + c.Print.String()
}
