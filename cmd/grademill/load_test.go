// Package main_test runs grademill as a process.
package main_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/role/overload"
)

// Guards against a table that drops what an operator looks for, and against an answer that is not from a
// gateway and yet ends with exit code 0.
func TestLoadCommand(t *testing.T) {
	program := filepath.Join(t.TempDir(), "grademill")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	age, early := 140.0, 0.01
	snapshot := overload.Snapshot{Admission: true, Services: []overload.ServiceSnapshot{{
		Service: "chat", Capacity: 650, ReportAge: &age,
		Level: overload.LevelSnapshot{Marginal: &overload.MarginalSnapshot{Priority: 1, Share: 0.4}},
		Fleet: overload.DemandSnapshot{Offered: 1560, Admitted: 640, Refused: 900, Waiting: 70, Classes: []overload.ClassSnapshot{
			{Priority: 1, Offered: 1300, Share: 0.4, Teams: []overload.TeamSnapshot{{Team: "clinic", Offered: 400, Share: 0.3}}},
			{Priority: 1, Returning: true, Offered: 260, Share: 0.125, EarlyShare: &early},
		}},
		Own:          overload.DemandSnapshot{Offered: 140, Admitted: 58, Refused: 80, Waiting: 6},
		RoomShares:   map[string]float64{"south": 0.013, "north": 0.24},
		Appointments: overload.AppointmentSnapshot{Room: 32.5, Part: 0.09},
	}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(snapshot) })
	gateway, other := httptest.NewServer(mux), httptest.NewServer(http.NotFoundHandler())
	defer gateway.Close()
	defer other.Close()
	out, err = exec.Command(program, "load", strings.TrimPrefix(gateway.URL, "http://")).CombinedOutput()
	require.NoError(t, err, string(out))
	lines := strings.Split(string(out), "\n")
	for i, line := range lines {
		lines[i] = strings.TrimRight(line, " ")
	}
	require.Equal(t, `
service chat: capacity 650.0/s, shedding from priority 1 new (0.400 admitted), newest report 140 ms old
              offered/s  admitted/s  refused/s  waiting
fleet         1560.0     640.0       900.0      70
this gateway  140.0      58.0        80.0       6

class                 team    offered/s  admitted share
priority 1            all     1300.0     0.400
                      clinic  400.0      0.300
priority 1 returning  all     260.0      0.125 (early 0.010)

hall   share of room of this gateway
north  0.240
south  0.013

room for returning callers: 32.5/s, of which this gateway gives 0.090 as appointments
`, strings.Join(lines, "\n"))
	out, err = exec.Command(program, "load", other.URL).CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "404")
}
