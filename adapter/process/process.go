// Package process runs the servers of one process, as a kratos application, until the process
// is told to stop. Create a Process with New and call Run.
package process

import (
	"context"
	"errors"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/applog"
)

// New returns a process that is not running yet. On a stop signal it calls drain and then
// stops the servers; when ctx ends it stops them at once.
func New(ctx context.Context, name string, log zerolog.Logger, drain func(context.Context) error, servers ...transport.Server) *Process {
	return &Process{app: kratos.New(
		kratos.Name(name),
		kratos.Context(ctx),
		kratos.Logger(&applog.Logger{Out: log}),
		kratos.Server(servers...),
		kratos.BeforeStop(drain),
	)}
}

// Process is a set of servers that start and stop together. Create it with New.
type Process struct {
	app *kratos.App
}

// Run serves until the process is stopped or its context ends.
func (p *Process) Run() error {
	err := p.app.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// Stop drains the process and makes Run return.
func (p *Process) Stop() error {
	return trace.Wrap(p.app.Stop())
}
