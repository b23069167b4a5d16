package event_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/event"
)

func read(source io.Reader, limit int) (raw, ids []string, err error) {
	r := event.Reader{Source: bufio.NewReaderSize(source, 16), Max: limit}
	for {
		e, err := r.Next()
		if err != nil {
			return raw, ids, err
		}
		raw, ids = append(raw, string(e.Raw)), append(ids, e.ID)
	}
}

func TestNext(t *testing.T) {
	const first, second = "id: 1\ndata: one\n\n", "versions: 2\r\nid:2\r\ndata: a line longer than the buffer\r\n\r\n"
	cases := []struct {
		name, stream string
		raw, ids     []string
		err          error
	}{
		{"two events", first + second, []string{first, second}, []string{"1", "2"}, io.EOF},
		{"without an ID", "data: x\n\n", []string{"data: x\n\n"}, []string{""}, io.EOF},
		{"comments before an event", ": ping\n\n\n" + first, []string{": ping\n\n\n" + first}, []string{"1"}, io.EOF},
		{"comments at the end", first + ": ping\n\n\n", []string{first, ": ping\n\n\n"}, []string{"1", ""}, io.EOF},
		{"truncated comment", first + ": ping\n\n: pi", []string{first}, []string{"1"}, io.ErrUnexpectedEOF},
		{"comments alone", "\n\n", []string{"\n\n"}, []string{""}, io.EOF},
		{"empty", "", nil, nil, io.EOF},
		{"truncated in a line", first + "id: 2\nda", []string{first}, []string{"1"}, io.ErrUnexpectedEOF},
		{"truncated between lines", first + "id: 2\n", []string{first}, []string{"1"}, io.ErrUnexpectedEOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw, ids, err := read(strings.NewReader(c.stream), 1000)
			require.Equal(t, c.raw, raw)
			require.Equal(t, c.ids, ids)
			require.ErrorIs(t, err, c.err)
		})
	}
}

func TestNextBoundsAnEvent(t *testing.T) {
	_, _, err := read(strings.NewReader(strings.Repeat("x", 200)+"\n\n"), 100)
	var long *event.TooLongError
	require.True(t, errors.As(err, &long))
}

// endless repeats a text.
type endless struct {
	text string
	n    int
}

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[(e.n+i)%len(e.text)]
	}
	e.n += len(p)
	return len(p), nil
}

// A stream repeated an event without end, until the deadline of its request.
func TestEventsWithoutEndAreBounded(t *testing.T) {
	for tokens, want := range map[int]int{1: 66, 100: 264} {
		r := event.NewReader(&endless{text: "id: 1\ndata: x\n\n"}, tokens)
		for range want {
			_, err := r.Next()
			require.NoError(t, err)
		}
		_, err := r.Next()
		var many *event.TooManyError
		require.ErrorAs(t, err, &many)
		require.Equal(t, want, many.Max)
	}
}

// Lines without an ID or data that come without end looked like events that arrive: the stream was
// never resumed elsewhere.
func TestEndlessLinesWithoutContentAreNoEvents(t *testing.T) {
	for _, text := range []string{"\n", "\r\n", ": ping\n\n", ": ping\n", "x", "x\n\n", "event: x\n\n", "\x00"} {
		t.Run(text, func(t *testing.T) {
			source := &endless{text: text}
			r := event.Reader{Source: bufio.NewReader(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), source)), Max: 1000}
			first, err := r.Next()
			require.NoError(t, err)
			require.Equal(t, "1", first.ID)
			_, err = r.Next()
			var long *event.TooLongError
			require.ErrorAs(t, err, &long)
			require.Less(t, source.n, 10_000)
		})
	}
}

// No byte may be lost or changed: the events and a truncated rest must add up to the stream.
func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\ndata: one\n\nid: 2\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		raw, _, err := read(bytes.NewReader(stream), 1<<20)
		whole := strings.Join(raw, "")
		require.True(t, strings.HasPrefix(string(stream), whole))
		var cut *event.TruncatedError
		if errors.As(err, &cut) {
			require.Equal(t, len(stream), len(whole)+cut.Bytes)
		} else {
			require.Equal(t, len(stream), len(whole))
		}
	})
}

// Guards against an event that is held back until the rest of the next one comes, which may take as long as its endpoint
// is silent.
func TestPartOfAnEventIsNotReady(t *testing.T) {
	for text, ready := range map[string]bool{
		"":                         false,
		"id: 2\ndata: x":           false,
		"id: 2\ndata: x\n":         false,
		"id: 2\ndata: x\n\n":       true,
		"id: 2\r\ndata: x\r\n\r\n": true,
	} {
		r := event.NewReader(strings.NewReader("id: 1\ndata: x\n\n"+text), 0)
		_, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, ready, r.Ready(), "%q", text)
	}
}

// Guards against an event that is passed on again.
func TestEventsThatDoNotRiseAreOutOfOrder(t *testing.T) {
	for _, c := range []struct {
		last, id string
		after    bool
	}{
		{"", "1", true},
		{"1", "", true},
		{"", "", true},
		{"9", "10", true},
		{"1", "1", false},
		{"10", "9", false},
		{"a", "b", true},
		{"b", "a", true},
		{"a", "a", false},
		{"1", "a", true},
	} {
		err := event.Event{ID: c.id}.After(c.last)
		require.Equal(t, c.after, err == nil, "%v", c)
	}
}
