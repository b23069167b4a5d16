// Package apikey holds the API keys of a configuration, and whether requests need one.
package apikey

import "iter"

// Registry maps API keys to their holders. It is immutable. The zero Registry admits nobody: a request
// needs a key, and there is none.
type Registry[H comparable] struct {
	// optional is set if requests need no key.
	optional bool
	// holders holds the holder of each key. No key is empty or has several holders.
	holders map[string]H
}

// Optional returns the registry of a configuration under which requests need no key.
func Optional[H comparable]() Registry[H] {
	return Registry[H]{optional: true}
}

// New returns a registry of the given keys and their holders, of which a request must have one, even if
// there are none. An empty key and a key of several holders admit nobody.
func New[H comparable](held iter.Seq2[string, H]) Registry[H] {
	r := Registry[H]{holders: make(map[string]H)}
	shared := make(map[string]bool)
	for key, holder := range held {
		if former, known := r.holders[key]; known && former != holder {
			shared[key] = true
		}
		r.holders[key] = holder
	}
	delete(r.holders, "")
	for key := range shared {
		delete(r.holders, key)
	}
	return r
}

// Required reports whether a request needs a key.
func (r Registry[H]) Required() bool { return !r.optional }

// Holder returns the holder of a key.
func (r Registry[H]) Holder(key string) (H, bool) {
	holder, ok := r.holders[key]
	return holder, ok
}

// Len returns the number of keys.
func (r Registry[H]) Len() int { return len(r.holders) }
