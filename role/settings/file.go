// Package settings reads the TOML file of a process and checks it.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the text of a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Or returns d, or otherwise when d is zero.
func (d Duration) Or(otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return time.Duration(d)
}

// File is the settings of one process.
type File struct {
	// Role is "entry", "agent" or "gateway".
	Role string `toml:"role" validate:"required,oneof=entry agent gateway"`
	// Name is unique in the fleet.
	Name string `toml:"name" validate:"required,max=63,hostname_rfc1123"`
	// Hall is the data hall of the host.
	Hall string `toml:"hall" validate:"required,max=63"`
	// Address is where peers reach the process.
	Address string `toml:"address" validate:"required,hostport"`
	// Admin is where operators and metrics are served.
	Admin string `toml:"admin" validate:"omitempty,hostport"`
	// LogLevel is "debug", "info", "warn" or "error"; empty means "info".
	LogLevel string `toml:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// DrainTimeout bounds how long a stop waits for requests in flight.
	DrainTimeout Duration `toml:"drain_timeout" validate:"min=0"`
	// Entry is set for the role entry.
	Entry *Entry `toml:"entry" validate:"required_if=Role entry"`
	// Agent is set for the role agent.
	Agent *Agent `toml:"agent" validate:"required_if=Role agent"`
	// Gateway is set for the role gateway.
	Gateway *Gateway `toml:"gateway" validate:"required_if=Role gateway"`
}

// Entry is the settings of an entry.
type Entry struct {
	// Caller is where callers are served.
	Caller string `toml:"caller" validate:"required,hostport"`
	// Platform is the address of the platform's service.
	Platform string `toml:"platform" validate:"required,http_url"`
	// Peers are the addresses of entries to begin with.
	Peers []string `toml:"peers" validate:"dive,hostport"`
	// Operators may change the configuration.
	Operators []Operator `toml:"operators" validate:"dive"`
	// Links are the times between data halls.
	Links []Link `toml:"links" validate:"dive"`
	// MaxQueue is the number of requests of a service that wait at most.
	MaxQueue int `toml:"max_queue" validate:"min=0,max=1000000"`
	// MaxDeadline bounds every request.
	MaxDeadline Duration `toml:"max_deadline" validate:"min=0"`
	// MinStall and MaxStall bound how long an attempt may make no progress.
	MinStall Duration `toml:"min_stall" validate:"min=0"`
	MaxStall Duration `toml:"max_stall" validate:"min=0"`
	// RecoverWait is how long a request that lost its chain waits for another.
	RecoverWait Duration `toml:"recover_wait" validate:"min=0"`
	// Expiry is how long an endpoint counts without a heartbeat.
	Expiry Duration `toml:"expiry" validate:"min=0"`
	// Sync is the time between two questions to a peer for changes.
	Sync Duration `toml:"sync" validate:"min=0"`
	// RetryShare is the share of first tries that may be retried.
	RetryShare float64 `toml:"retry_share" validate:"min=0,max=1"`
	// RetryReserve is the number of retries that are always allowed in a window.
	RetryReserve int `toml:"retry_reserve" validate:"min=0,max=1000000"`
	// ClaimKeep is how long an idempotency key is remembered.
	ClaimKeep Duration `toml:"claim_keep" validate:"min=0"`
}

// Operator may change the configuration.
type Operator struct {
	Name      string `toml:"name" validate:"required,max=63"`
	KeySHA256 string `toml:"key_sha256" validate:"required,len=64,hexadecimal,lowercase"`
}

// Link is the one-way time between two data halls, in both directions.
type Link struct {
	From string   `toml:"from" validate:"required"`
	To   string   `toml:"to" validate:"required"`
	Time Duration `toml:"time" validate:"min=0"`
}

// Agent is the settings of an agent. Either Engine or Plain is set.
type Agent struct {
	// Engine is the address of the model engine beside the agent.
	Engine string `toml:"engine" validate:"required_without=Plain,excluded_with=Plain,omitempty,http_url"`
	// Plain is the address of the plain service beside the agent.
	Plain string `toml:"plain" validate:"omitempty,http_url"`
	// Service is the name of the plain service.
	Service string `toml:"service" validate:"required_with=Plain"`
	// Entries are the addresses of entries to begin with.
	Entries []string `toml:"entries" validate:"required,min=1,dive,hostport"`
	// Subset is the number of entries that the agent reports to.
	Subset int `toml:"subset" validate:"min=0,max=1000"`
	// Heartbeat is the time between two reports.
	Heartbeat Duration `toml:"heartbeat" validate:"min=0"`
	// MaxSessions is the number of requests admitted at most.
	MaxSessions int `toml:"max_sessions" validate:"min=0,max=100000"`
	// WaitFactor is how long a step may take with its wait, in steps: a larger
	// one gives throughput, a smaller one latency and quicker recovery.
	WaitFactor float64 `toml:"wait_factor" validate:"min=0,max=100"`
	// CallKeep is how long calls that may not be repeated are remembered.
	CallKeep Duration `toml:"call_keep" validate:"min=0"`
}

// Gateway is the settings of a gateway.
type Gateway struct {
	// Caller is where callers are served, Ready where the balancer asks.
	Caller string `toml:"caller" validate:"required,hostport"`
	Ready  string `toml:"ready" validate:"required,hostport"`
	// Store is the address of the platform's store.
	Store string `toml:"store" validate:"required,hostport"`
	// Revocation is how soon a key that was taken away must not work anywhere.
	Revocation Duration `toml:"revocation" validate:"min=0"`
	// StopTimeout is how long after the signal to stop the process is killed.
	StopTimeout Duration `toml:"stop_timeout" validate:"min=0"`
	// RetryShare, RetryReserve and RetryWindow bound the retries of all
	// gateways together.
	RetryShare   float64 `toml:"retry_share" validate:"min=0,max=1"`
	RetryReserve int     `toml:"retry_reserve" validate:"min=0,max=1000000"`
	// FlatFleet is the size of a fleet up to which every gateway tells every other one
	// all, and asks the platform's store itself; 0 for the usual size.
	FlatFleet int `toml:"flat_fleet" validate:"min=0,max=10000"`
	// LinkMegabits is what the host's link carries, in Mbit/s, 0 when that is not
	// known: what gateways tell each other has a bounded part of it.
	LinkMegabits float64  `toml:"link_megabits" validate:"min=0,max=10000000"`
	RetryWindow  Duration `toml:"retry_window" validate:"min=0"`
}

// Error is a fault in a file of settings.
type Error struct {
	File string
	// Line is the line of the fault, 0 when it is not on one.
	Line int
	// Key is the key at fault, with those of the tables around it.
	Key string
	// Problem says what is wrong and what is allowed.
	Problem string
}

// Error locates the fault.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Problem)
}

// Load reads and checks a file. It returns an Error for the first fault.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse checks the content of the file at path.
func Parse(path string, data []byte) (*File, error) {
	f := new(File)
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(f); err != nil {
		return nil, trace.Wrap(decodeError(path, err))
	}
	var fields validator.ValidationErrors
	if err := newValidator().Struct(f); errors.As(err, &fields) {
		return nil, trace.Wrap(fieldError(path, data, fields[0]))
	}
	return f, nil
}

// decodeError locates an error of the decoder.
func decodeError(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return &Error{path, line, strings.Join(first.Key(), "."), "there is no such key"}
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		return &Error{path, line, strings.Join(syntax.Key(), "."), strings.TrimPrefix(syntax.Error(), "toml: ")}
	}
	return &Error{path, 0, "", err.Error()}
}

// newValidator returns a validator that names fields by their keys.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	v.RegisterAlias("hostport", "hostname_port")
	return v
}

// fieldError locates a field that does not satisfy its rule.
func fieldError(path string, data []byte, f validator.FieldError) error {
	key := strings.TrimPrefix(f.Namespace(), "File.")
	rule := f.Tag()
	if f.Param() != "" {
		rule += " " + f.Param()
	}
	return &Error{path, lineOf(data, key), key, fmt.Sprintf("%v does not satisfy: %s", f.Value(), rule)}
}

// lineOf returns the line that sets key, 0 when there is none. Of several
// tables in an array it takes the first.
func lineOf(data []byte, key string) int {
	want := strings.Split(key, ".")
	for i := range want {
		want[i], _, _ = strings.Cut(want[i], "[")
	}
	table := ""
	for n, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(line, "[] ") + "."
			continue
		}
		name, _, assigned := strings.Cut(line, "=")
		if assigned && table+strings.TrimSpace(name) == strings.Join(want, ".") {
			return n + 1
		}
	}
	return 0
}
