// Package hosts is the port to the platform's list of hosts.
package hosts

import "context"

// Host is one row of the list. The list lags: a live host may be missing, a
// dead one may still be on it.
type Host struct {
	Name string `json:"name"`
	// Role is "entry" or "agent".
	Role string `json:"role"`
	Hall string `json:"hall"`
	// Address is where the process of the system on the host takes steps and
	// control calls.
	Address string `json:"address"`
	// Leaving is set when the platform is about to take the host away.
	Leaving bool `json:"leaving,omitempty"`
}

// Lister reads the list.
type Lister interface {
	// Hosts returns the list as the platform has it now.
	Hosts(ctx context.Context) ([]Host, error)
}
