// Package hosts defines the interface to the platform's list of hosts.
package hosts

import "context"

// Host is one entry of the list. The list lags behind: it may lack a live host, and may
// still contain a dead one.
type Host struct {
	Name string `json:"name"`
	// Role is the role of the host's process, "entry" or "agent".
	Role string `json:"role"`
	Hall string `json:"hall"`
	// Address is the address at which the host's process accepts steps and control
	// calls.
	Address string `json:"address"`
	// Leaving is set when the platform is about to remove the host.
	Leaving bool `json:"leaving,omitempty"`
}

// Lister reads the list of hosts.
type Lister interface {
	// Hosts returns the platform's present list.
	Hosts(ctx context.Context) ([]Host, error)
}
