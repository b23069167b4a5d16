package policy_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/policy"
)

func compile(t *testing.T, policies map[string]config.Policy) *policy.Set {
	objects := make(map[string]config.Object[config.Policy])
	for name, p := range policies {
		objects[name] = config.Object[config.Policy]{Value: p}
	}
	set, err := policy.Compile(objects)
	require.NoError(t, err)
	return set
}

func TestDecide(t *testing.T) {
	set := compile(t, map[string]config.Policy{
		"reads":    {Match: `service == "stock" && method == "GET"`, Repeatable: "true", Order: 1},
		"desk":     {Match: `team == "desk"`, Priority: "prompt_tokens < 100 ? 9 : 3", Deadline: `duration("5s")`, Order: 2},
		"batch":    {Match: `max_tokens > 1000`, Recovery: `"fail"`, Order: 3},
		"at fault": {Match: `team == "odd"`, Repeatable: "1 / prompt_tokens == 1", Order: 4},
	})
	cases := []struct {
		name       string
		request    policy.Request
		repeatable bool
		want       policy.Decision
	}{
		{"no policy matches", policy.Request{Team: "x"}, true, policy.Decision{Repeatable: true, Recovery: policy.Resume}},
		{"a read", policy.Request{Service: "stock", Method: "GET"}, false, policy.Decision{Policy: "reads", Repeatable: true, Recovery: policy.Resume}},
		{"a write", policy.Request{Service: "stock", Method: "POST"}, false, policy.Decision{Recovery: policy.Resume}},
		{"short prompt", policy.Request{Team: "desk", PromptTokens: 10}, true, policy.Decision{
			Policy: "desk", Repeatable: true, Priority: 9, Deadline: 5 * time.Second, Recovery: policy.Resume,
		}},
		{"the lowest order wins", policy.Request{Team: "desk", PromptTokens: 500, MaxTokens: 5000}, true, policy.Decision{
			Policy: "desk", Repeatable: true, Priority: 3, Deadline: 5 * time.Second, Recovery: policy.Resume,
		}},
		{"recovery disabled", policy.Request{MaxTokens: 5000}, true, policy.Decision{Policy: "batch", Repeatable: true, Recovery: policy.Fail}},
		{"a failed program never makes a request repeatable", policy.Request{Team: "odd"}, true, policy.Decision{Policy: "at fault", Recovery: policy.Resume}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, set.Decide(c.request, c.repeatable))
		})
	}
}

func TestMayPlace(t *testing.T) {
	set := compile(t, map[string]config.Policy{
		"abroad": {Match: "false", Place: `service != "assistant" || hall in ["ikeja", "lekki"]`},
	})
	require.True(t, set.MayPlace(policy.Host{Hall: "ikeja", Service: "assistant"}))
	require.False(t, set.MayPlace(policy.Host{Hall: "ibadan", Service: "assistant"}))
	require.True(t, set.MayPlace(policy.Host{Hall: "ibadan", Service: "other"}))
	var none *policy.Set
	require.True(t, none.MayPlace(policy.Host{}))
}

func TestCompileErrorsLocateTheFault(t *testing.T) {
	cases := map[string]struct {
		policy       config.Policy
		field        string
		line, column int
	}{
		"syntax":             {config.Policy{Match: "team =="}, "match", 1, 8},
		"second line":        {config.Policy{Match: "true", Priority: "1 +\nfoo"}, "priority", 2, 1},
		"unknown name":       {config.Policy{Match: "tem == 'x'"}, "match", 1, 1},
		"wrong type":         {config.Policy{Match: "1"}, "match", 1, 1},
		"a host's attribute": {config.Policy{Match: "hall == 'x'"}, "match", 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := policy.Check("p", c.policy)
			var fault *policy.CompileError
			require.True(t, errors.As(err, &fault), "%v", err)
			require.Equal(t, "p", fault.Policy)
			require.Equal(t, c.field, fault.Field)
			require.Equal(t, [2]int{c.line, c.column}, [2]int{fault.Line, fault.Column}, fault.Problem)
		})
	}
}

func TestEvaluationIsBounded(t *testing.T) {
	long := `[1,2,3,4,5,6,7,8,9].all(a, [1,2,3,4,5,6,7,8,9].all(b, [1,2,3,4,5,6,7,8,9].all(c, [1,2,3,4,5,6,7,8,9].all(d, a+b+c+d > 0))))`
	set := compile(t, map[string]config.Policy{"long": {Match: "true", Repeatable: long}})
	require.False(t, set.Decide(policy.Request{}, true).Repeatable, "a program above the cost limit fails")
}

func BenchmarkDecide(b *testing.B) {
	objects := make(map[string]config.Object[config.Policy])
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		objects[name] = config.Object[config.Policy]{Value: config.Policy{Match: `team == "` + name + `"`, Priority: "1"}}
	}
	set, err := policy.Compile(objects)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		set.Decide(policy.Request{Team: "e"}, true)
	}
}
