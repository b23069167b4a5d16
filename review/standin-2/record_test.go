//go:build review

package standin_test

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: one line for each thing that was sent, answered or run, with the time since the start.
type record struct {
	start time.Time

	mu   sync.Mutex // guards the fields below
	file *os.File
	out  *bufio.Writer
}

// newRecord creates a record at a path.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// note adds a line, and shows it.
func (r *record) note(format string, values ...any) {
	fmt.Println(r.line(format, values...))
}

// line adds a line, and returns it.
func (r *record) line(format string, values ...any) string {
	text := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, values...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		_, _ = r.out.WriteString(text + "\n") // an error shows as a record that ends early
	}
	return text
}

// close writes the rest of the record.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
	r.file = nil
}
