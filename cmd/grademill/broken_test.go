package main_test

import (
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/broken"
)

// Guards against an answer that is not well-formed and that a command prints as one of a process.
func TestBrokenAnswersEndCommands(t *testing.T) {
	program := filepath.Join(t.TempDir(), "grademill")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	for name, arguments := range map[string]func(address string) []string{
		"ctl":  func(address string) []string { return []string{"ctl", "-admin", "http://" + address, "status"} },
		"load": func(address string) []string { return []string{"load", address} },
	} {
		requireCommand(t, program, arguments, "HTTP/1.1 200 OK\r\n\r\n{}", require.NoError)
		for kind, answer := range broken.All("{}") {
			t.Run(name+"/"+kind, func(t *testing.T) { requireCommand(t, program, arguments, answer, require.Error) })
		}
	}
}

// requireCommand checks how a command ends that gets an answer.
func requireCommand(
	t *testing.T, program string, arguments func(address string) []string, answer broken.Answer, require require.ErrorAssertionFunc,
) {
	address, stop, err := answer.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	out, err := exec.Command(program, arguments(address)...).CombinedOutput()
	require(t, err, "%q: %s", answer, out)
}
