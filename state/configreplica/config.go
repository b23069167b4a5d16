// Package configreplica holds the configuration in force in one process. Its revision
// never decreases.
package configreplica

import (
	"encoding/json"
	"iter"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/grademill/grademill/decide/apikey"
	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/policy"
	"github.com/grademill/grademill/state/headlog"
	"github.com/grademill/grademill/wire"
)

// maxTail is the number of recent changes kept, for peers that lag slightly behind and
// for operators who query the outcome of a write.
const maxTail = 1024

// Snapshot is the configuration in force at one revision. It is immutable.
type Snapshot struct {
	State *config.State
	// Policies are compiled from State, or from the latest earlier state whose
	// policies compiled in this process.
	Policies *policy.Set
	// Keys holds the names of the teams by the SHA-256 hash of an API key.
	Keys apikey.Registry[string]
}

// Config is a replica of the configuration. Create it with New. It is safe for concurrent
// use, and Current never blocks.
type Config struct {
	current atomic.Pointer[Snapshot]

	mu   sync.Mutex // held by writers
	tail []headlog.Record
	// changed is closed and replaced with each new revision.
	changed chan struct{}
}

// New returns a replica that holds the empty configuration at revision 0.
func New() *Config {
	c := &Config{changed: make(chan struct{})}
	c.current.Store(&Snapshot{State: new(config.State), Policies: new(policy.Set)})
	return c
}

// Current returns the configuration in force.
func (c *Config) Current() *Snapshot {
	return c.current.Load()
}

// Revision returns the revision in force.
func (c *Config) Revision() uint64 {
	return c.Current().State.Revision
}

// Changed returns a channel that is closed when the next revision is in force.
func (c *Config) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Apply applies records to the state in force. It skips records that are already
// applied, and returns a config.OrderError if a revision is missing.
func (c *Config) Apply(records []headlog.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.Current().State
	for _, record := range records {
		if record.Revision <= state.Revision {
			continue
		}
		next, err := ApplyRecord(state, record)
		if err != nil {
			return err
		}
		state = next
		c.tail = append(c.tail, record)
	}
	if over := len(c.tail) - maxTail; over > 0 {
		c.tail = append([]headlog.Record(nil), c.tail[over:]...)
	}
	return c.install(state)
}

// Install replaces the state in force with a newer one, and ignores one that is not newer.
func (c *Config) Install(state *config.State) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.Revision <= c.Revision() {
		return nil
	}
	c.tail = nil
	return c.install(state)
}

// Find returns the revision of a write, or 0 if it is not among the recent changes.
func (c *Config) Find(id string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range c.tail {
		if record.ID == id {
			return record.Revision
		}
	}
	return 0
}

// install publishes state unless it is not newer, and wakes those who wait for Changed.
// If the policies do not compile, it keeps the former ones, publishes the rest and returns
// the error. The caller holds c.mu.
func (c *Config) install(state *config.State) error {
	former := c.Current()
	if state.Revision <= former.State.Revision {
		return nil
	}
	next := &Snapshot{State: state, Policies: former.Policies, Keys: apikey.New(teamsByKey(state))}
	policies, err := former.Policies.With(state.Policies)
	if err == nil {
		next.Policies = policies
	}
	c.current.Store(next)
	close(c.changed)
	c.changed = make(chan struct{})
	return err
}

// teamsByKey returns the hashes of the API keys, each with the name of a team that has it.
func teamsByKey(state *config.State) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for name, team := range state.Teams {
			for _, hash := range team.Value.KeySHA256 {
				if !yield(hash, name) {
					return
				}
			}
		}
	}
}

// ApplyRecord returns the state that results from applying a record to state.
func ApplyRecord(state *config.State, record headlog.Record) (*config.State, error) {
	var change config.Change
	if err := json.Unmarshal(record.Body, &change); err != nil {
		return nil, trace.Wrap(err, "change %d", record.Revision)
	}
	return state.With(record.Revision, change)
}

// UpdatesSince returns the changes after the given revision for a peer, or a snapshot if
// the recent changes do not reach back that far.
func (c *Config) UpdatesSince(revision uint64) (*wire.SyncReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.Current().State
	reply := &wire.SyncReply{Revision: state.Revision}
	if revision >= state.Revision {
		return reply, nil
	}
	if len(c.tail) == 0 || c.tail[0].Revision > revision+1 {
		snapshot, err := json.Marshal(state)
		reply.Snapshot = snapshot
		return reply, trace.Wrap(err)
	}
	for _, record := range c.tail[revision+1-c.tail[0].Revision:] {
		change, err := json.Marshal(record)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		reply.Changes = append(reply.Changes, change)
	}
	return reply, nil
}

// ApplyReply applies a peer's reply, which holds a snapshot or changes.
func (c *Config) ApplyReply(reply *wire.SyncReply) error {
	if len(reply.GetSnapshot()) > 0 {
		state := new(config.State)
		if err := json.Unmarshal(reply.GetSnapshot(), state); err != nil {
			return trace.Wrap(err, "decode snapshot from peer")
		}
		return c.Install(state)
	}
	var records []headlog.Record
	for _, change := range reply.GetChanges() {
		var record headlog.Record
		if err := json.Unmarshal(change, &record); err != nil {
			return trace.Wrap(err, "decode change from peer")
		}
		records = append(records, record)
	}
	return c.Apply(records)
}
