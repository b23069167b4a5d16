// Package byname keeps an immutable value for each of a few names, such as what has been
// learned of each service.
package byname

import "sync"

// Map holds values by name. The zero Map is empty and ready to use. It is safe for
// concurrent use.
type Map[T any] struct {
	mu     sync.Mutex
	values map[string]T
}

// Get returns the value of a name, the zero value for one that has none.
func (m *Map[T]) Get(name string) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[name]
}

// Update replaces the value of a name by what change makes of it.
func (m *Map[T]) Update(name string, change func(T) T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.values == nil {
		m.values = make(map[string]T)
	}
	m.values[name] = change(m.values[name])
}
