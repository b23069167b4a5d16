// Package settings reads the TOML settings file of a process and validates it.
//
// [Load] returns the settings, or an [Error] with the line and key of the first fault.
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

// Duration is a time.Duration that is written as text, such as "1.5s".
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

// Or returns d, or fallback if d is zero.
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return time.Duration(d)
}

// File holds the settings of one process.
type File struct {
	// Role is "entry", "agent" or "gateway".
	Role string `toml:"role" validate:"required,oneof=entry agent gateway"`
	// Name is the name of the process, unique in the fleet.
	Name string `toml:"name" validate:"required,max=63,hostname_rfc1123"`
	// Hall is the data hall of the host.
	Hall string `toml:"hall" validate:"required,max=63"`
	// Address is the address for connections from peers.
	Address string `toml:"address" validate:"required,hostport"`
	// Admin is the address of the operators' API and of the metrics.
	Admin string `toml:"admin" validate:"omitempty,hostport"`
	// LogLevel is "debug", "info", "warn" or "error"; empty means "info".
	LogLevel string `toml:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// DrainTimeout bounds how long a stopping process waits for requests in flight.
	DrainTimeout Duration `toml:"drain_timeout" validate:"min=0"`
	// Entry is set for the role entry.
	Entry *Entry `toml:"entry" validate:"required_if=Role entry"`
	// Agent is set for the role agent.
	Agent *Agent `toml:"agent" validate:"required_if=Role agent"`
	// Gateway is set for the role gateway.
	Gateway *Gateway `toml:"gateway" validate:"required_if=Role gateway"`
}

// Entry holds the settings of an entry.
type Entry struct {
	// Caller is the address of the callers' API.
	Caller string `toml:"caller" validate:"required,hostport"`
	// Platform is the base URL of the platform's service.
	Platform string `toml:"platform" validate:"required,http_url"`
	// Peers are the addresses of the entries to contact at start.
	Peers []string `toml:"peers" validate:"dive,hostport"`
	// Operators are permitted to change the configuration.
	Operators []Operator `toml:"operators" validate:"dive"`
	// Links are the latencies between data halls.
	Links []Link `toml:"links" validate:"dive"`
	// MaxQueue is the maximum number of requests of a service that wait.
	MaxQueue int `toml:"max_queue" validate:"min=0,max=1000000"`
	// MaxDeadline bounds the deadline of every request.
	MaxDeadline Duration `toml:"max_deadline" validate:"min=0"`
	// MinStall and MaxStall bound how long an attempt may make no progress before it counts as
	// stalled.
	MinStall Duration `toml:"min_stall" validate:"min=0"`
	MaxStall Duration `toml:"max_stall" validate:"min=0"`
	// RecoverWait is how long a request that lost its chain waits for another one.
	RecoverWait Duration `toml:"recover_wait" validate:"min=0"`
	// Expiry is how long an endpoint stays in use without a heartbeat.
	Expiry Duration `toml:"expiry" validate:"min=0"`
	// Sync is the mean interval between requests to peers for changes.
	Sync Duration `toml:"sync" validate:"min=0"`
	// RetryShare is the number of retries allowed per first attempt.
	RetryShare float64 `toml:"retry_share" validate:"min=0,max=1"`
	// RetryReserve is the number of retries per window that are allowed in any case.
	RetryReserve int `toml:"retry_reserve" validate:"min=0,max=1000000"`
	// ClaimKeep is how long an idempotency key is remembered.
	ClaimKeep Duration `toml:"claim_keep" validate:"min=0"`
}

// Operator is an operator who is permitted to change the configuration.
type Operator struct {
	Name      string `toml:"name" validate:"required,max=63"`
	KeySHA256 string `toml:"key_sha256" validate:"required,len=64,hexadecimal,lowercase"`
}

// Link is the one-way latency between two data halls, the same in both directions.
type Link struct {
	From string   `toml:"from" validate:"required"`
	To   string   `toml:"to" validate:"required"`
	Time Duration `toml:"time" validate:"min=0"`
}

// Agent holds the settings of an agent. Either Engine or Plain is set.
type Agent struct {
	// Engine is the base URL of the model engine on the agent's host.
	Engine string `toml:"engine" validate:"required_without=Plain,excluded_with=Plain,omitempty,http_url"`
	// Plain is the base URL of the plain service on the agent's host.
	Plain string `toml:"plain" validate:"omitempty,http_url"`
	// Service is the name of the plain service.
	Service string `toml:"service" validate:"required_with=Plain"`
	// Entries are the addresses of the entries to contact at start.
	Entries []string `toml:"entries" validate:"required,min=1,dive,hostport"`
	// Subset is the number of entries that receive the agent's heartbeats.
	Subset int `toml:"subset" validate:"min=0,max=1000"`
	// Heartbeat is the interval between heartbeats.
	Heartbeat Duration `toml:"heartbeat" validate:"min=0"`
	// MaxSessions is the largest limit of requests in flight that the agent reports to entries.
	MaxSessions int `toml:"max_sessions" validate:"min=0,max=100000"`
	// WaitFactor is the target for the time of a step including its wait in the queue, in multiples
	// of the time of a step. A larger factor gives more throughput, a smaller one lower latency and
	// faster recovery.
	WaitFactor float64 `toml:"wait_factor" validate:"min=0,max=100"`
	// CallKeep is how long calls that must not be repeated are remembered.
	CallKeep Duration `toml:"call_keep" validate:"min=0"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	// Caller is the address of the callers' API, Ready that of the load balancer's health check.
	Caller string `toml:"caller" validate:"required,hostport"`
	Ready  string `toml:"ready" validate:"required,hostport"`
	// Store is the address of the platform's store.
	Store string `toml:"store" validate:"required,hostport"`
	// Revocation is the time within which a revoked key must stop working everywhere.
	Revocation Duration `toml:"revocation" validate:"min=0"`
	// StopTimeout is the time between the stop signal and the forced end of the process.
	StopTimeout Duration `toml:"stop_timeout" validate:"min=0"`
	// RetryShare, RetryReserve and RetryWindow bound the retries of all gateways together. The
	// platform may give RetryReserve as a fraction; the budget uses its whole part.
	RetryShare   float64 `toml:"retry_share" validate:"min=0,max=1"`
	RetryReserve float64 `toml:"retry_reserve" validate:"min=0,max=1000000"`
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool `toml:"first_start"`
	// FlatFleet is the largest fleet in which every gateway sends its digests to all others and
	// reads the platform's store itself, 0 for the default size.
	FlatFleet int `toml:"flat_fleet" validate:"min=0,max=10000"`
	// LinkMegabits is the bandwidth of the host's link in Mbit/s, 0 if unknown. Messages between
	// gateways use a bounded share of it.
	LinkMegabits float64  `toml:"link_megabits" validate:"min=0,max=10000000"`
	RetryWindow  Duration `toml:"retry_window" validate:"min=0"`
	// MemoryMegabytes is the memory of the process in MB, 0 if unknown: a quarter of it is for what is held for callers.
	MemoryMegabytes float64 `toml:"memory_megabytes" validate:"min=0,max=10000000"`
	// Descriptors is the number of descriptors of the process, 0 for the limit of the system: half of them are for callers.
	Descriptors int `toml:"descriptors" validate:"min=0,max=10000000"`
	// EvenRoom places layers so that the layer with the least room for requests has most of it.
	EvenRoom bool `toml:"even_room"`
	// Overload is the overload control of the fleet; nil switches all of it off.
	Overload *Overload `toml:"overload" validate:"omitempty"`
}

// Overload holds the settings of the overload control of a fleet of gateways.
type Overload struct {
	// RoomShares limits what a gateway takes of an endpoint's free room to its share.
	RoomShares bool `toml:"room_shares"`
	// FleetAdmission makes all gateways admit the same classes of requests, and gives callers that
	// are refused appointments at the rate at which the fleet has room for them.
	FleetAdmission bool `toml:"fleet_admission"`
	// HallSplit divides the demand of a hall among halls.
	HallSplit bool `toml:"hall_split"`
	// ReturnShare is the share of the capacity that is reserved for returning callers, nil for the
	// default of 0.05.
	ReturnShare *float64 `toml:"return_share" validate:"omitempty,min=0,max=0.5"`
	// MinShare is the share of the overall served share that every class gets, nil for the default of
	// 0.4.
	MinShare *float64 `toml:"min_share" validate:"omitempty,min=0,max=0.9"`
	// TeamWeights are the weights of teams, above 0. A team that is not listed has weight 1. The upper
	// bound excludes infinity.
	TeamWeights map[string]float64 `toml:"team_weights" validate:"dive,keys,required,max=63,endkeys,gt=0,max=1000000"`
}

// Defaults of the shares of Overload.
const (
	defaultReturnShare = 0.05
	defaultMinShare    = 0.4
)

// Shares returns ReturnShare and MinShare, or their defaults.
func (o *Overload) Shares() (returning, least float64) {
	returning, least = defaultReturnShare, defaultMinShare
	if o.ReturnShare != nil {
		returning = *o.ReturnShare
	}
	if o.MinShare != nil {
		least = *o.MinShare
	}
	return returning, least
}

// Error is a fault in a settings file.
type Error struct {
	File string
	// Line is the line of the fault, 0 if the fault is not on a particular line.
	Line int
	// Key is the full key at fault, including the tables around it.
	Key string
	// Problem describes what is wrong and what is allowed.
	Problem string
}

// Error returns the file, line and key of the fault, and the problem.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Problem)
}

// Load reads and validates a file. It returns an [Error] for the first fault.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse validates data, the content of the file at path. It returns an [Error] for the first fault.
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

// decodeError converts an error of the decoder into an [Error].
func decodeError(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return &Error{path, line, strings.Join(first.Key(), "."), "unknown key"}
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, _ := syntax.Position()
		return &Error{path, line, strings.Join(syntax.Key(), "."), strings.TrimPrefix(syntax.Error(), "toml: ")}
	}
	return &Error{path, 0, "", err.Error()}
}

// newValidator returns a validator that reports fields by their TOML keys.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	v.RegisterAlias("hostport", "hostname_port")
	return v
}

// fieldError converts the violation of a validation rule into an [Error].
func fieldError(path string, data []byte, f validator.FieldError) error {
	key := strings.TrimPrefix(f.Namespace(), "File.")
	rule := f.Tag()
	if f.Param() != "" {
		rule += " " + f.Param()
	}
	return &Error{path, lineOf(data, key), key, fmt.Sprintf("value %v violates the rule: %s", f.Value(), rule)}
}

// lineOf returns the line that sets key, 0 if there is none. Among several tables of an array it
// uses the first. The key of a map is in brackets; it may be set in a table of its own.
func lineOf(data []byte, key string) int {
	inTable := strings.NewReplacer("[", ".", "]", "").Replace(key)
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
		full := table + strings.Trim(name, " \t\"'")
		if assigned && (full == strings.Join(want, ".") || full == inTable) {
			return n + 1
		}
	}
	return 0
}
