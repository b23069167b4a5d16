package fingerprint_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
)

// A change of any part, or of the boundary between two parts, must change the fingerprint.
func TestOf(t *testing.T) {
	t.Parallel()
	base := fingerprint.Request{Method: "POST", Host: "h", Target: "/a", Team: "t", Body: []byte("b")}
	require.Equal(t, fingerprint.Of(base), fingerprint.Of(base))
	seen := map[fingerprint.Fingerprint]bool{fingerprint.Of(base): true}
	for _, change := range []func(*fingerprint.Request){
		func(r *fingerprint.Request) { r.Method = "PUT" },
		func(r *fingerprint.Request) { r.Host = "i" },
		func(r *fingerprint.Request) { r.Target = "/a?x" },
		func(r *fingerprint.Request) { r.Team = "u" },
		func(r *fingerprint.Request) { r.Body = []byte("c") },
		func(r *fingerprint.Request) { r.Body = nil },
		func(r *fingerprint.Request) { r.Target, r.Team = "/at", "" },
	} {
		other := base
		change(&other)
		f := fingerprint.Of(other)
		require.False(t, seen[f], "%+v", other)
		seen[f] = true
	}
}

func BenchmarkOf(b *testing.B) {
	r := fingerprint.Request{Method: "POST", Host: "club.example", Target: "/plan/1", Team: "desk", Body: make([]byte, 800)}
	for b.Loop() {
		fingerprint.Of(r)
	}
}
