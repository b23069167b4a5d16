package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/grademill/grademill/adapter/httpclient"
	"github.com/grademill/grademill/adapter/readlimit"
)

// Exit codes specific to ctl.
const (
	exitRefused  = subcommands.ExitStatus(4)
	exitNotKnown = subcommands.ExitStatus(5)
)

// ctlTimeout bounds one call of the admin API.
const ctlTimeout = 10 * time.Second

// maxAnswer is the maximum size of an answer in bytes.
const maxAnswer = 16 << 20

// keyVariable is the environment variable that holds the operator's key. A
// command-line argument would show the key in the list of processes.
const keyVariable = "GRADEMILL_OPERATOR_KEY"

type ctlCommand struct {
	admin   string
	match   string
	writeID string
}

func (*ctlCommand) Name() string     { return "ctl" }
func (*ctlCommand) Synopsis() string { return "read and change the configuration" }

func (*ctlCommand) Usage() string {
	return `grademill ctl [-admin URL] status
grademill ctl [-admin URL] list KIND
grademill ctl [-admin URL] get KIND NAME
grademill ctl [-admin URL] [-if-match REVISION] [-write-id ID] put KIND NAME FILE
grademill ctl [-admin URL] [-if-match REVISION] [-write-id ID] delete KIND NAME
grademill ctl [-admin URL] write ID
  KIND is services, teams or policies; FILE is JSON, "-" for standard input.
  The operator's key is taken from ` + keyVariable + `.
  Exit codes: 0 accepted, 1 failed, 2 wrong arguments, 4 refused, 5 outcome not
  known: query it with "write ID", or repeat the change with the same -write-id.
`
}

func (c *ctlCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.admin, "admin", "http://127.0.0.1:7001", "address of the admin API of an entry")
	f.StringVar(&c.match, "if-match", "", "revision that the object must have; \"none\" for one that must not exist")
	f.StringVar(&c.writeID, "write-id", "", "unique ID of the change")
}

func (c *ctlCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	method, path, body, err := c.parse(f.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	status, text, err := c.call(ctx, method, path, body)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Print(text)
	switch {
	case status == http.StatusAccepted || strings.Contains(text, `"not_known"`):
		return exitNotKnown
	case status != http.StatusOK:
		return exitRefused
	}
	return subcommands.ExitSuccess
}

// usageError reports arguments that do not form a ctl command.
type usageError struct {
	args []string
}

// Error quotes the arguments.
func (e *usageError) Error() string {
	return fmt.Sprintf("invalid arguments %q: see grademill help ctl", e.args)
}

// parse translates the arguments into a request to the admin API.
func (c *ctlCommand) parse(args []string) (method, path string, body []byte, err error) {
	if len(args) == 0 {
		return "", "", nil, &usageError{args}
	}
	object := strings.Join(args[1:], "/")
	switch {
	case args[0] == "status" && len(args) == 1:
		return http.MethodGet, "status", nil, nil
	case args[0] == "list" && len(args) == 2, args[0] == "get" && len(args) == 3:
		return http.MethodGet, object, nil, nil
	case args[0] == "write" && len(args) == 2:
		return http.MethodGet, "writes/" + args[1], nil, nil
	case args[0] == "delete" && len(args) == 3:
		return http.MethodDelete, object, nil, nil
	case args[0] == "put" && len(args) == 4:
		body, err = readFile(args[3])
		return http.MethodPut, args[1] + "/" + args[2], body, err
	}
	return "", "", nil, &usageError{args}
}

// readFile reads the file at path, or standard input if path is "-".
func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// call sends a request to the admin API and returns the status and body of the
// answer.
func (c *ctlCommand) call(ctx context.Context, method, path string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, ctlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.admin+"/admin/v1/"+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+os.Getenv(keyVariable))
	switch c.match {
	case "":
	case "none":
		request.Header.Set("If-None-Match", "*")
	default:
		request.Header.Set("If-Match", `"`+c.match+`"`)
	}
	if c.writeID != "" {
		request.Header.Set("Grademill-Write-Id", c.writeID)
	}
	answer, err := httpclient.Default.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close() //nolint:errcheck // nothing to save
	text, err := readlimit.ReadAll(answer.Body, "answer", maxAnswer)
	return answer.StatusCode, string(text), err
}
