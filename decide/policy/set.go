// Package policy compiles and evaluates the operators' policies, which are short CEL programs.
package policy

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
	"github.com/gravitational/trace"

	"github.com/grademill/grademill/decide/config"
)

// Request holds the attributes of a request that are available to policies.
type Request struct {
	Team    string
	Service string
	// Method and Path are set for plain services.
	Method string
	Path   string
	// PromptTokens and MaxTokens are set for models.
	PromptTokens int
	MaxTokens    int
}

// Host holds the attributes of a host that are available to policies on loading models there.
type Host struct {
	Hall    string
	Service string
}

// Recovery is how a request continues after its chain has lost a stage.
type Recovery string

// Recovery modes.
const (
	// Resume continues along another chain after the tokens already sent.
	Resume Recovery = "resume"
	// Fail ends the request.
	Fail Recovery = "fail"
)

// Decision is the treatment of a request.
type Decision struct {
	// Policy is the name of the matching policy, empty if none matches.
	Policy     string
	Repeatable bool
	Priority   int
	// Deadline bounds the whole request; zero means the entry's own bound.
	Deadline time.Duration
	Recovery Recovery
}

// CompileError reports a policy that does not compile.
type CompileError struct {
	Policy, Field string
	// Line and Column locate the first error, from 1.
	Line, Column int
	Problem      string
}

// Error returns the location and the problem.
func (e *CompileError) Error() string {
	return fmt.Sprintf("policies/%s: %s:%d:%d: %s", e.Policy, e.Field, e.Line, e.Column, e.Problem)
}

// costLimit bounds one evaluation, in CEL cost units.
const costLimit = 10_000

// Set holds the compiled policies of one configuration. It is immutable.
type Set struct {
	policies []compiled
}

type compiled struct {
	revision                                                   uint64 // of the object
	name                                                       string
	order                                                      int
	match, repeatable, priority, deadline, place, recoveryMode cel.Program
}

// environments returns the environments for requests and for hosts, which it creates once.
var environments = sync.OnceValues(func() (*cel.Env, *cel.Env) {
	request, err := cel.NewEnv(
		cel.Variable("team", cel.StringType),
		cel.Variable("service", cel.StringType),
		cel.Variable("method", cel.StringType),
		cel.Variable("path", cel.StringType),
		cel.Variable("prompt_tokens", cel.IntType),
		cel.Variable("max_tokens", cel.IntType),
	)
	if err != nil {
		panic(err) // the declarations above are constant
	}
	host, err := cel.NewEnv(
		cel.Variable("hall", cel.StringType),
		cel.Variable("service", cel.StringType),
	)
	if err != nil {
		panic(err) // the declarations above are constant
	}
	return request, host
})

// Compile compiles all policies of a configuration.
func Compile(policies map[string]config.Object[config.Policy]) (*Set, error) {
	return new(Set).With(policies)
}

// With returns the set for the policies of a later configuration. It compiles only policies that
// have changed. It returns a CompileError for the first one that fails; s remains usable.
func (s *Set) With(policies map[string]config.Object[config.Policy]) (*Set, error) {
	former := make(map[string]compiled, len(s.policies))
	for _, c := range s.policies {
		former[c.name] = c
	}
	set := new(Set)
	for name, object := range policies {
		c, ok := former[name]
		if !ok || c.revision != object.Revision {
			var err error
			if c, err = compile(name, object.Value); err != nil {
				return nil, err
			}
			c.revision = object.Revision
		}
		set.policies = append(set.policies, c)
	}
	slices.SortFunc(set.policies, func(a, b compiled) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.name, b.name))
	})
	return set, nil
}

// Check returns a CompileError if p does not compile.
func Check(name string, p config.Policy) error {
	_, err := compile(name, p)
	return err
}

func compile(name string, p config.Policy) (compiled, error) {
	request, host := environments()
	c := compiled{name: name, order: p.Order}
	fields := []struct {
		name string
		text string
		env  *cel.Env
		kind *cel.Type
		into *cel.Program
	}{
		{"match", p.Match, request, cel.BoolType, &c.match},
		{"repeatable", p.Repeatable, request, cel.BoolType, &c.repeatable},
		{"priority", p.Priority, request, cel.IntType, &c.priority},
		{"deadline", p.Deadline, request, cel.DurationType, &c.deadline},
		{"place", p.Place, host, cel.BoolType, &c.place},
		{"recovery", p.Recovery, request, cel.StringType, &c.recoveryMode},
	}
	for _, f := range fields {
		if f.text == "" {
			continue
		}
		program, fault := build(f.env, f.text, f.kind)
		if fault != nil {
			fault.Policy, fault.Field = name, f.name
			return compiled{}, trace.Wrap(fault)
		}
		*f.into = program
	}
	return c, nil
}

// build compiles a program and checks the type of its result.
func build(env *cel.Env, text string, kind *cel.Type) (cel.Program, *CompileError) {
	ast, issues := env.Compile(text)
	if err := issues.Err(); err != nil {
		first := issues.Errors()[0]
		return nil, &CompileError{Line: first.Location.Line(), Column: first.Location.Column() + 1, Problem: first.Message}
	}
	if !ast.OutputType().IsExactType(kind) {
		return nil, &CompileError{Line: 1, Column: 1, Problem: fmt.Sprintf("gives %s, %s is needed", ast.OutputType(), kind)}
	}
	program, err := env.Program(ast, cel.CostLimit(costLimit))
	if err != nil {
		return nil, &CompileError{Line: 1, Column: 1, Problem: err.Error()}
	}
	return program, nil
}

// Decide returns the treatment of r according to the first matching policy, and defaults for what
// that policy leaves open. If a program fails at run time, its default applies, but the request is
// never repeatable after a failure of the repeatable program.
func (s *Set) Decide(r Request, repeatable bool) Decision {
	d := Decision{Repeatable: repeatable, Recovery: Resume}
	if s == nil || len(s.policies) == 0 {
		return d
	}
	vars := map[string]any{
		"team": r.Team, "service": r.Service, "method": r.Method, "path": r.Path,
		"prompt_tokens": r.PromptTokens, "max_tokens": r.MaxTokens,
	}
	for i := range s.policies {
		c := &s.policies[i]
		if matched, ok := eval[bool](c.match, vars); !ok || !matched {
			continue
		}
		return c.decide(d, vars)
	}
	return d
}

// decide applies c to the default decision d.
func (c *compiled) decide(d Decision, vars map[string]any) Decision {
	d.Policy = c.name
	if c.repeatable != nil {
		d.Repeatable, _ = eval[bool](c.repeatable, vars)
	}
	if priority, ok := eval[int64](c.priority, vars); ok {
		d.Priority = int(priority)
	}
	if deadline, ok := eval[time.Duration](c.deadline, vars); ok {
		d.Deadline = deadline
	}
	if recovery, ok := eval[string](c.recoveryMode, vars); ok && Recovery(recovery) == Fail {
		d.Recovery = Fail
	}
	return d
}

// MayPlace reports whether all policies allow loading the model on h. A program that fails at run
// time forbids it.
func (s *Set) MayPlace(h Host) bool {
	if s == nil {
		return true
	}
	vars := map[string]any{"hall": h.Hall, "service": h.Service}
	for i := range s.policies {
		if s.policies[i].place == nil {
			continue
		}
		if allowed, ok := eval[bool](s.policies[i].place, vars); !ok || !allowed {
			return false
		}
	}
	return true
}

// eval runs a program. It returns false if there is no program or it fails.
func eval[T any](program cel.Program, vars map[string]any) (T, bool) {
	var zero T
	if program == nil {
		return zero, false
	}
	out, _, err := program.Eval(vars)
	if err != nil || types.IsError(out) {
		return zero, false
	}
	value, ok := out.Value().(T)
	return value, ok
}
