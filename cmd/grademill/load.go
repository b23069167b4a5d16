package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/grademill/grademill/adapter/httpclient"
	"github.com/grademill/grademill/adapter/readlimit"
	"github.com/grademill/grademill/role/overload"
)

// loadCommand is apart from ctl, which speaks to entries with the operator's key: gateways serve
// their load without one, at the address of their metrics.
type loadCommand struct{ json bool }

func (*loadCommand) Name() string { return "load" }
func (*loadCommand) Synopsis() string {
	return "show the load of the fleet as a gateway sees it"
}

func (*loadCommand) Usage() string {
	return `grademill load [-json] HOST:PORT
  Prints, for each model service, the demand, the capacity and the shares of requests
  that are admitted. HOST:PORT is the admin address of a gateway.
  Exit codes: 0 printed, 1 failed, 2 wrong arguments.
`
}

func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.json, "json", false, "print the answer of the gateway as it is")
}

func (c *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	text, err := fetchLoad(ctx, f.Arg(0))
	if err == nil && c.json {
		_, err = os.Stdout.Write(text)
		return finish(err)
	}
	var snapshot overload.Snapshot
	if err == nil {
		err = json.Unmarshal(text, &snapshot)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return finish(writeLoad(os.Stdout, snapshot))
}

// statusError reports an answer that is not the expected one.
type statusError struct {
	url, status string
}

// Error names the URL and the status.
func (e *statusError) Error() string { return e.url + ": " + e.status }

// fetchLoad returns the load that the gateway with an admin address reports, as JSON.
func fetchLoad(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, ctlTimeout)
	defer cancel()
	url := "http://" + strings.TrimPrefix(address, "http://") + "/v1/load"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := httpclient.Default.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close() //nolint:errcheck // nothing to save
	if answer.StatusCode != http.StatusOK {
		return nil, &statusError{url, answer.Status}
	}
	return readlimit.ReadAll(answer.Body, "answer", maxAnswer)
}

// writeLoad writes a snapshot as tables.
func writeLoad(w io.Writer, snapshot overload.Snapshot) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, values ...any) { fmt.Fprintf(t, format+"\n", values...) } //nolint:errcheck // Flush returns the error
	if !snapshot.Admission {
		row("fleet_admission is off: no request is shed")
	}
	if len(snapshot.Services) == 0 {
		row("no model service has had requests")
	}
	for _, s := range snapshot.Services {
		row("\nservice %s: %s", s.Service, describeLevel(s))
		row("\toffered/s\tadmitted/s\trefused/s\twaiting")
		row("fleet\t%.1f\t%.1f\t%.1f\t%d", s.Fleet.Offered, s.Fleet.Admitted, s.Fleet.Refused, s.Fleet.Waiting)
		row("this gateway\t%.1f\t%.1f\t%.1f\t%d", s.Own.Offered, s.Own.Admitted, s.Own.Refused, s.Own.Waiting)
		row("\nclass\tteam\toffered/s\tadmitted share")
		for _, class := range s.Fleet.Classes {
			name := fmt.Sprintf("priority %d", class.Priority)
			if class.Returning {
				name += " returning"
			}
			early := ""
			if class.EarlyShare != nil {
				early = fmt.Sprintf(" (early %.3f)", *class.EarlyShare)
			}
			row("%s\tall\t%.1f\t%.3f%s", name, class.Offered, class.Share, early)
			for _, team := range class.Teams {
				row("\t%s\t%.1f\t%.3f", team.Team, team.Offered, team.Share)
			}
		}
		row("\nhall\tshare of room of this gateway")
		for _, hall := range slices.Sorted(maps.Keys(s.RoomShares)) {
			row("%s\t%.3f", hall, s.RoomShares[hall])
		}
		row("\nroom for returning callers: %.1f/s, of which this gateway gives %.3f as appointments", s.Appointments.Room, s.Appointments.Part)
	}
	return t.Flush()
}

// describeLevel returns the capacity, the level and the source of a service's figures as text.
func describeLevel(s overload.ServiceSnapshot) string {
	text := "capacity unknown"
	if s.Capacity > 0 {
		text = fmt.Sprintf("capacity %.1f/s", s.Capacity)
	}
	if m := s.Level.Marginal; m != nil {
		kind := "new"
		if m.Returning {
			kind = "returning"
		}
		text += fmt.Sprintf(", shedding from priority %d %s (%.3f admitted)", m.Priority, kind, m.Share)
	} else {
		text += ", open"
	}
	if s.ReportAge != nil {
		text += fmt.Sprintf(", newest report %.0f ms old", *s.ReportAge)
	} else {
		text += ", no reports of other gateways"
	}
	if s.Isolated {
		text += ", isolated"
	}
	return text
}
