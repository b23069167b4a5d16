// Command standin runs a stand-in for one of the external systems in tests: the
// platform, a model engine or a plain service.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/standin/engine"
	"github.com/grademill/grademill/standin/platform"
	"github.com/grademill/grademill/standin/service"
	"github.com/grademill/grademill/standin/toy"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin platform|engine|service [flags]")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// kindError reports an unknown kind of stand-in.
type kindError string

// Error names the unknown kind and lists the valid ones.
func (e kindError) Error() string {
	return "unknown stand-in " + string(e) + ": use platform, engine or service"
}

func run(kind string, args []string) error {
	f := flag.NewFlagSet(kind, flag.ExitOnError)
	address := f.String("listen", "127.0.0.1:0", "address to listen on")
	makeHandler, ok := map[string]func(*flag.FlagSet) func() http.Handler{
		"platform": platformHandler, "engine": engineHandler, "service": serviceHandler,
	}[kind]
	if !ok {
		return kindError(kind)
	}
	handler := makeHandler(f)
	if err := f.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	return http.Serve(listener, handler())
}

func platformHandler(f *flag.FlagSet) func() http.Handler {
	lag := f.Duration("lag", 0, "delay before a change of the host list becomes visible")
	return func() http.Handler { return (&platform.Store{HostsDelay: *lag}).Handler() }
}

func engineHandler(f *flag.FlagSet) func() http.Handler {
	name := f.String("service", "assistant", "service whose model is loaded")
	layers := f.Int("layers", 12, "number of layers of the model")
	first := f.Int("first", 0, "first layer held")
	end := f.Int("end", 0, "one past the last layer held")
	base := f.Duration("base", 5*time.Millisecond, "duration of a step")
	perToken := f.Duration("per-token", 50*time.Microsecond, "duration added by each position")
	batch := f.Int("batch", 32, "maximum number of steps in a batch")
	load := f.Duration("load", time.Second, "time to load a range of layers")
	prefix := f.Int("prefix-blocks", 0, "size of the prefix cache in blocks")
	return func() http.Handler {
		e := &engine.Engine{
			Models: map[string]toy.Model{*name: {Name: *name, Layers: *layers}},
			Layers: layer.Range{First: *first, End: *end}, Base: *base, PerToken: *perToken,
			MaxBatch: *batch, LoadTime: *load, PrefixBlocks: *prefix, KeepRuns: true,
		}
		if *end > *first {
			e.Service = *name
		}
		return e.Handler()
	}
}

func serviceHandler(f *flag.FlagSet) func() http.Handler {
	took := f.Duration("took", 5*time.Millisecond, "duration of a call")
	return func() http.Handler {
		s := &service.Service{CallDuration: *took}
		mux := http.NewServeMux()
		mux.Handle("/", s)
		mux.HandleFunc("GET /test/record", func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(s.Record())
		})
		return mux
	}
}
