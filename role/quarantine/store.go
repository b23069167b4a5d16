package quarantine

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/backoff"
	"github.com/grademill/grademill/decide/cause"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/suspicion"
	"github.com/grademill/grademill/decide/trial"
	"github.com/grademill/grademill/port/kv"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Keys and times of the quarantine in the store.
const (
	// keyPrefix precedes the fingerprint of a quarantined cause in its key, trialPrefix that of a suspect
	// that has been tried.
	keyPrefix   = "grademill/quarantine/"
	trialPrefix = "grademill/trial/"
	// fingerprintBase is the base in which keys hold fingerprints.
	fingerprintBase = 16
	// writeStagger is the delay that a keeper adds for each keeper ranked before it. In that time it
	// learns of a key that one of them wrote, so that only one writes it.
	writeStagger = 1500 * time.Millisecond
	// storeTimeout bounds the calls that claim an attempt: a slow store answers within 0.3 s.
	storeTimeout = 500 * time.Millisecond
)

// storeRetry spaces out the writes while the store does not answer.
var storeRetry = backoff.Backoff{Base: 500 * time.Millisecond, Max: 8 * time.Second}

// Store is the part of the store that a quarantine uses.
type Store interface {
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Put writes if the condition holds and returns the new revision.
	Put(ctx context.Context, w kv.Write) (uint64, error)
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease string) error
}

// queueWrite queues a cause to be written to the store. If the queue is full, the cause spreads with
// digests only.
func (q *Quarantine) queueWrite(f fingerprint.Fingerprint) {
	select {
	case q.writes <- f:
	default:
		q.Log.Warn().Stringer("print", f).Msg("write queue is full, quarantined request is not written to the store and spreads with digests only")
	}
}

// persist writes a cause to the store, unless another gateway does: the one that has tried it writes it at once.
func (q *Quarantine) persist(ctx context.Context, f fingerprint.Fingerprint) {
	wait := time.Duration(0)
	if !q.holds(f) {
		keeperRank, _ := q.keeperRank(f)
		wait = time.Duration(keeperRank) * writeStagger
	}
	for failures := 1; q.wait(ctx, f, wait); failures++ {
		err := q.put(ctx, f)
		var held *kv.ConflictError
		if err == nil || errors.As(err, &held) {
			q.Log.Info().Stringer("print", f).AnErr("error", err).Msg("the store holds a quarantined request")
			return
		}
		q.Log.Warn().Stringer("print", f).Err(err).Msg("the store did not accept a quarantined request")
		wait = storeRetry.Delay(failures, 0)
	}
}

// put writes a cause under a lease that lasts as long as the quarantine.
func (q *Quarantine) put(ctx context.Context, f fingerprint.Fingerprint) error {
	now := time.Now()
	known := q.known.Get(f, now)
	left := known.QuarantineLeft
	stored := &wire.Quarantine{UntilUnixMillis: now.Add(left).UnixMilli(), Ends: uint32(known.Count)}
	for _, e := range known.Ends {
		stored.Lives = append(stored.Lives, uint32(e.Life))
	}
	text, err := proto.Marshal(stored)
	if err != nil {
		return err
	}
	lease, err := q.Store.Grant(ctx, max(left, minRemaining))
	if err != nil {
		return err
	}
	_, err = q.Store.Put(ctx, kv.Write{Key: keyPrefix + f.String(), Value: text, Lease: lease})
	if err != nil {
		_ = q.Store.Revoke(ctx, lease) // otherwise the lease expires
	}
	return err
}

// Put handles a pair read from the store, and reports whether its key is that of a quarantined cause or of a
// trial.
func (q *Quarantine) Put(p kv.Pair, now time.Time) bool {
	if f, ok := parseKey(p.Key, trialPrefix); ok {
		q.putTrial(f, p, now)
		return true
	}
	f, ok := parseKey(p.Key, keyPrefix)
	if !ok {
		return isOwnKey(p.Key)
	}
	var text wire.Quarantine
	if err := proto.Unmarshal(p.Value, &text); err != nil {
		q.Log.Warn().Err(err).Str("key", p.Key).Msg("cannot decode a quarantined request from the store")
		return true
	}
	q.mu.Lock()
	q.stored[f] = true
	q.mu.Unlock()
	var ends []suspicion.End
	for _, l := range text.GetLives() {
		ends = append(ends, suspicion.End{Life: suspicion.Life(l)})
	}
	if left := min(time.UnixMilli(text.GetUntilUnixMillis()).Sub(now), quarantineTime); left > 0 {
		q.adopt(f, left, ends, "the store", now)
	}
	return true
}

// putTrial handles the record of a trial read from the store.
func (q *Quarantine) putTrial(f fingerprint.Fingerprint, p kv.Pair, now time.Time) {
	var text wire.Trial
	if err := proto.Unmarshal(p.Value, &text); err != nil {
		q.Log.Warn().Err(err).Str("key", p.Key).Msg("cannot decode a trial from the store")
		return
	}
	if q.noteTrial(f, decodeTrial(&text, p.Revision, now)) {
		q.wake()
	}
}

// noteTrial records a state of a trial, and reports whether it is news. An attempt of this gateway that it does not hold
// is one of its former incarnation, or its claim got no answer: it is given up.
func (q *Quarantine) noteTrial(f fingerprint.Fingerprint, t trial.Trial) bool {
	if !q.trials.Note(f, t) {
		return false
	}
	if t.Holder == q.Self && q.hold(f) {
		a := &attempt{
			q: q, causes: []cause.Cause{{Print: f}}, suspects: []suspect{{Cause: cause.Cause{Print: f}, trial: t}},
			incarnation: suspicion.Incarnation{Endpoint: t.Endpoint, Born: t.Born}, claimed: t.Since,
		}
		a.finish(true)
	}
	return true
}

// Removed handles the removal of a key from the store at a revision, and reports whether it was that of a
// quarantined cause or of a trial. A cause whose lease expired too early is written again.
func (q *Quarantine) Removed(key string, revision uint64, now time.Time) bool {
	if f, ok := parseKey(key, trialPrefix); ok {
		q.trials.Remove(f, revision)
		q.wake()
		return true
	}
	f, ok := parseKey(key, keyPrefix)
	if !ok {
		return isOwnKey(key)
	}
	q.mu.Lock()
	delete(q.stored, f)
	q.mu.Unlock()
	if q.known.QuarantineLeft(f, now) > minRemaining {
		q.queueWrite(f)
	}
	return true
}

// isOwnKey reports whether a key is one of this package.
func isOwnKey(key string) bool {
	return strings.HasPrefix(key, keyPrefix) || strings.HasPrefix(key, trialPrefix)
}

// encodeTrial and decodeTrial translate the state of a trial, which was learned at now.
func encodeTrial(t trial.Trial) *wire.Trial {
	return &wire.Trial{Holder: t.Holder, Endpoint: t.Endpoint, Born: t.Born, Sends: uint32(t.Sends), Lease: t.Lease, Revision: t.Revision}
}

func decodeTrial(t *wire.Trial, revision uint64, now time.Time) trial.Trial {
	return trial.Trial{
		Holder: t.GetHolder(), Endpoint: t.GetEndpoint(), Born: t.GetBorn(), Sends: int(t.GetSends()), Lease: t.GetLease(),
		Revision: revision, Since: now,
	}
}

// writeTrial writes the state of a trial to the store if it is still at the revision of t, and returns it with its
// new revision. A trial without a record gets a lease.
func (q *Quarantine) writeTrial(ctx context.Context, f fingerprint.Fingerprint, t trial.Trial) (trial.Trial, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	granted := t.Revision == 0
	if granted {
		lease, err := q.Store.Grant(ctx, quarantineTime)
		if err != nil {
			return t, err
		}
		t.Lease = lease
	}
	record := encodeTrial(t)
	record.Revision = 0
	text, err := proto.Marshal(record)
	if err != nil {
		return t, err
	}
	sent := time.Now()
	revision, err := q.Store.Put(ctx, kv.Write{Key: trialPrefix + f.String(), Value: text, If: t.Revision, Lease: t.Lease})
	if err != nil {
		if granted {
			_ = q.Store.Revoke(ctx, t.Lease) // otherwise the lease expires
		}
		return t, err
	}
	t.Revision, t.Since = revision, sent
	return t, nil
}

// removeTrial removes the record of a trial with its lease.
func (q *Quarantine) removeTrial(lease string) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return q.Store.Revoke(ctx, lease)
}

// isStored reports whether the store holds a cause.
func (q *Quarantine) isStored(f fingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stored[f]
}

// parseKey returns the fingerprint in a key of the store with a prefix.
func parseKey(key, prefix string) (fingerprint.Fingerprint, bool) {
	text, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, fingerprintBase, 64)
	return fingerprint.Fingerprint(n), err == nil
}
