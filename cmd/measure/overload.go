package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/grademill/grademill/decide/outcome"
)

type overloadCommand struct {
	window time.Duration
}

func (*overloadCommand) Name() string { return "overload" }
func (*overloadCommand) Synopsis() string {
	return "measure goodput, team shares and refusals at and above the upper bound"
}
func (*overloadCommand) Usage() string { return "measure overload [flags]\n" }

func (c *overloadCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.window, "window", 16*time.Second, "duration of the load; its second half is measured")
}

func (c *overloadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "site\tload\ttokens/s\tof the bound\tadmitted\trefused\trefused in p95\tlarge team/small team\theap MB")
	for _, s := range []site{ramdin, greenbough} {
		for _, factor := range []float64{1, 3} {
			if err := c.measure(ctx, out, s, factor); err != nil {
				fmt.Fprintln(os.Stderr, err)
				return subcommands.ExitFailure
			}
		}
	}
	return subcommands.ExitSuccess
}

// overloadQueue is the queue limit of an entry, about two seconds of work.
const overloadQueue = 64

func (c *overloadCommand) measure(ctx context.Context, out *tabwriter.Writer, s site, factor float64) error {
	l, err := s.openWith(ctx, nil, overloadQueue)
	if err != nil {
		return err
	}
	defer l.Close()
	t := &trial{site: s, lab: l}
	loadCtx, cancel := context.WithTimeout(ctx, c.window)
	defer cancel()
	begin := time.Now()
	t.open(loadCtx, factor*s.bound(l.Engines))
	from, to := begin.Add(c.window/2), begin.Add(c.window)
	rate := t.rate(from, to)
	admitted, refused := make(map[string]int), []time.Duration(nil)
	total := 0
	for _, r := range t.results {
		report, failed := outcome.Of(r.err)
		if failed && report.Kind == outcome.NotRun {
			refused = append(refused, r.end.Sub(r.begin))
		}
		// Teams share admissions, so count the requests admitted in the second half: a
		// request that ends in it may have been admitted before the overload began.
		if r.first.After(from) && r.first.Before(to) {
			admitted[r.team]++
			total++
		}
	}
	small := 0
	for i := 2; i < 10; i++ {
		small += admitted[fmt.Sprintf("team-%d", i)]
	}
	share := float64(admitted["team-0"]+admitted["team-1"]) / 2 / (float64(small) / 8)
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	fmt.Fprintf(out, "%s\t%.0f times the bound\t%.0f\t%.3f\t%d\t%d\t%v\t%.2f\t%d\n", s.name, factor, rate,
		rate/(s.bound(l.Engines)*float64(s.answer)), total, len(refused),
		quantile(refused, 0.95).Round(time.Millisecond), share, memory.HeapAlloc>>20)
	return out.Flush()
}
