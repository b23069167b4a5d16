package quarantine

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/backoff"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/port/kv"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Keys and times of the quarantine in the store.
const (
	// keyPrefix precedes the fingerprint of a quarantined request in its key.
	keyPrefix = "grademill/quarantine/"
	// fingerprintBase is the base in which keys hold fingerprints.
	fingerprintBase = 16
	// writeStagger is the delay that a keeper adds for each keeper ranked before it. In that time it
	// learns of a key that one of them wrote, so that only one writes it.
	writeStagger = 1500 * time.Millisecond
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

// queueWrite queues a request to be written to the store. If the queue is full, the request spreads with
// digests only.
func (q *Quarantine) queueWrite(f fingerprint.Fingerprint) {
	select {
	case q.writes <- f:
	default:
		q.Log.Warn().Stringer("print", f).Msg("write queue is full, quarantined request is not written to the store and spreads with digests only")
	}
}

// persist writes a request to the store, unless another gateway does.
func (q *Quarantine) persist(ctx context.Context, f fingerprint.Fingerprint) {
	keeperRank, _ := q.keeperRank(f)
	wait := time.Duration(keeperRank) * writeStagger
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

// put writes a request under a lease that lasts as long as the quarantine.
func (q *Quarantine) put(ctx context.Context, f fingerprint.Fingerprint) error {
	now := time.Now()
	left := q.known.QuarantineLeft(f, now)
	text, err := proto.Marshal(&wire.Quarantine{
		UntilUnixMillis: now.Add(left).UnixMilli(), Ends: uint32(q.known.Ends(f, now)),
	})
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

// Put handles a pair read from the store, and reports whether its key is that of a quarantined
// request.
func (q *Quarantine) Put(p kv.Pair, now time.Time) bool {
	f, ok := parseKey(p.Key)
	if !ok {
		return strings.HasPrefix(p.Key, keyPrefix)
	}
	var text wire.Quarantine
	if err := proto.Unmarshal(p.Value, &text); err != nil {
		q.Log.Warn().Err(err).Str("key", p.Key).Msg("cannot decode a quarantined request from the store")
		return true
	}
	q.mu.Lock()
	q.stored[f] = true
	q.mu.Unlock()
	if left := min(time.UnixMilli(text.GetUntilUnixMillis()).Sub(now), quarantineTime); left > 0 {
		q.adopt(f, left, "the store", now)
	}
	return true
}

// Removed handles the removal of a key from the store, and reports whether it was that of a quarantined
// request. A request whose lease expired too early is written again.
func (q *Quarantine) Removed(key string, now time.Time) bool {
	f, ok := parseKey(key)
	if !ok {
		return strings.HasPrefix(key, keyPrefix)
	}
	q.mu.Lock()
	delete(q.stored, f)
	q.mu.Unlock()
	if q.known.QuarantineLeft(f, now) > minRemaining {
		q.queueWrite(f)
	}
	return true
}

// isStored reports whether the store holds a request.
func (q *Quarantine) isStored(f fingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stored[f]
}

// parseKey returns the fingerprint in a key of the store.
func parseKey(key string) (fingerprint.Fingerprint, bool) {
	text, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, fingerprintBase, 64)
	return fingerprint.Fingerprint(n), err == nil
}
