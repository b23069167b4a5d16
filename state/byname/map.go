// Package byname provides a concurrent map from names to immutable values, such as the estimates
// of each service.
package byname

import "sync"

// Map holds values by name. The zero Map is empty and ready to use. It is safe for concurrent use.
type Map[T any] struct {
	mu     sync.Mutex
	values map[string]T
}

// Get returns the value of a name, the zero value if it has none.
func (m *Map[T]) Get(name string) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[name]
}

// Update replaces the value of a name by the result of change, which runs under the lock.
func (m *Map[T]) Update(name string, change func(T) T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.values == nil {
		m.values = make(map[string]T)
	}
	m.values[name] = change(m.values[name])
}
