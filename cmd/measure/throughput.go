package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/grademill/grademill/decide/outcome"
	"github.com/grademill/grademill/lab"
	"github.com/grademill/grademill/lab/baseline"
	"github.com/grademill/grademill/role/entry"
)

// quantile returns the q-quantile of times, which need not be sorted; 0 if there
// are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// strategy is a strategy for choosing chains. A nil chooser is the router's own.
type strategy struct {
	name    string
	chooser entry.Chooser
}

func strategies() []strategy {
	return []strategy{
		{"router", nil},
		{"random", entry.Chooser(baseline.Random())},
		{"round robin", entry.Chooser(baseline.RoundRobin())},
		{"least loaded", entry.Chooser(baseline.LeastLoaded())},
	}
}

type throughputCommand struct {
	window   time.Duration
	inFlight int
	only     string
	load     string
	engines  bool
	wait     float64
}

func (*throughputCommand) Name() string     { return "throughput" }
func (*throughputCommand) Synopsis() string { return "measure tokens a second against the upper bound" }
func (*throughputCommand) Usage() string    { return "measure throughput [flags]\n" }

func (c *throughputCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.window, "window", 10*time.Second, "duration of the measurement, after a warm-up of 8 s")
	f.IntVar(&c.inFlight, "in-flight", 1000, "number of requests in flight")
	f.Float64Var(&c.wait, "wait-factor", 0, "wait factor of the agents, 0 for their default")
	f.BoolVar(&c.engines, "engines", false, "print the utilization of each engine")
	f.StringVar(&c.load, "load", "", "measure only this load")
	f.StringVar(&c.only, "only", "", "measure only this strategy")
}

func (c *throughputCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "site\tload\tway\ttokens/s\tbound\tratio\tfirst p50\tfirst p95\tbetween p50\tbetween p95\tfailed")
	for _, s := range []site{ramdin, greenbough} {
		s.waitFactor = c.wait
		for _, v := range variants(s) {
			for _, w := range strategies() {
				if c.load != "" && v.load != c.load {
					continue
				}
				if c.only != "" && w.name != c.only {
					continue
				}
				if err := c.measure(ctx, out, v, w); err != nil {
					fmt.Fprintln(os.Stderr, err)
					return subcommands.ExitFailure
				}
			}
		}
	}
	return subcommands.ExitSuccess
}

// variant is a site under one kind of load.
type variant struct {
	site
	load string
}

func variants(s site) []variant {
	slow := s
	slow.slowHall = 3
	prefix := s
	prefix.shared, prefix.blocks = s.prompt/4*3, 4096
	return []variant{{s, "even"}, {slow, "one hall slow"}, {prefix, "prefix-heavy"}}
}

func (c *throughputCommand) measure(ctx context.Context, out *tabwriter.Writer, v variant, w strategy) error {
	l, err := v.open(ctx, w.chooser)
	if err != nil {
		return err
	}
	defer l.Close()
	t := &trial{site: v.site, lab: l}
	const warmUp = 8 * time.Second
	load, cancel := endAfter(ctx, warmUp+c.window)
	defer cancel()
	begin := time.Now()
	t.holdInFlight(load, c.inFlight, warmUp/2)
	from := begin.Add(warmUp)
	rate := t.rate(from, from.Add(c.window))
	bound := v.bound(l.Engines) * float64(v.answer)
	failed, causes := 0, make(map[outcome.Code]int)
	for _, r := range t.results {
		report, isFailure := outcome.Of(r.err)
		if isFailure && r.end.Before(from.Add(c.window)) {
			failed++
			causes[report.Code]++
		}
	}
	if failed > 0 {
		fmt.Fprintln(os.Stderr, v.name, v.load, w.name, causes)
	}
	fmt.Fprintf(out, "%s\t%s\t%s\t%.0f\t%.0f\t%.3f\t%v\t%v\t%v\t%v\t%d\n", v.name, v.load, w.name, rate, bound, rate/bound,
		quantile(t.first, 0.5).Round(time.Millisecond), quantile(t.first, 0.95).Round(time.Millisecond),
		quantile(t.between, 0.5).Round(time.Millisecond), quantile(t.between, 0.95).Round(time.Millisecond), failed)
	if c.engines {
		printEngines(out, l, time.Since(begin))
	}
	return out.Flush()
}

// printEngines prints the utilization and the mean batch size of each engine.
func printEngines(out *tabwriter.Writer, l *lab.Lab, elapsed time.Duration) {
	for _, e := range l.Engines {
		w := l.Work(e.Name)
		fmt.Fprintf(out, "\t%s\t%v\t%v\tbusy %.2f\tsteps in a batch %.1f\n", e.Name, e.Layers, e.Base,
			w.Busy.Seconds()/elapsed.Seconds(), float64(w.Steps)/max(float64(w.Batches), 1))
	}
}
