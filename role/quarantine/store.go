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

// The figures of keeping the quarantine in the store.
const (
	// prefix and a fingerprint are the key of a request that is in quarantine.
	prefix = "grademill/quarantine/"
	// printBase is the base of the fingerprints in keys.
	printBase = 16
	// storeTurn is how long a gateway leaves the write to each that keeps count before it: the
	// time in which it hears of the key, so that one of them writes it.
	storeTurn = 1500 * time.Millisecond
)

// storeRetry spaces out the writes while the store does not answer.
var storeRetry = backoff.Backoff{Base: 500 * time.Millisecond, Max: 8 * time.Second}

// Store is what a quarantine needs of the store.
type Store interface {
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (string, error)
	// Put writes if the condition holds and returns the new revision.
	Put(ctx context.Context, w kv.Write) (uint64, error)
	// Revoke ends a lease; its keys go with it.
	Revoke(ctx context.Context, lease string) error
}

// write has a request written to the store. What finds no place is known by digests only.
func (q *Quarantine) write(f fingerprint.Fingerprint) {
	select {
	case q.writes <- f:
	default:
		q.Log.Warn().Stringer("print", f).Msg("too many quarantined requests wait for the store, one is not written")
	}
}

// keep writes a request to the store, unless another gateway does.
func (q *Quarantine) keep(ctx context.Context, f fingerprint.Fingerprint) {
	turn, _ := q.turn(f)
	wait := time.Duration(turn) * storeTurn
	for failures := 1; q.wait(ctx, f, wait); failures++ {
		err := q.put(ctx, f)
		var held *kv.ConflictError
		if err == nil || errors.As(err, &held) {
			q.Log.Info().Stringer("print", f).AnErr("error", err).Msg("the store holds a quarantined request")
			return
		}
		q.Log.Warn().Stringer("print", f).Err(err).Msg("the store does not take a quarantined request")
		wait = storeRetry.Delay(failures, 0)
	}
}

// put writes a request under a lease that lasts as long as the quarantine.
func (q *Quarantine) put(ctx context.Context, f fingerprint.Fingerprint) error {
	now := time.Now()
	left := q.known.Barred(f, now)
	text, err := proto.Marshal(&wire.Quarantine{
		UntilUnixMillis: now.Add(left).UnixMilli(), Ends: uint32(q.known.Ends(f, now)),
	})
	if err != nil {
		return err
	}
	lease, err := q.Store.Grant(ctx, max(left, leastLeft))
	if err != nil {
		return err
	}
	_, err = q.Store.Put(ctx, kv.Write{Key: prefix + f.String(), Value: text, Lease: lease})
	if err != nil {
		_ = q.Store.Revoke(ctx, lease) // it lapses otherwise
	}
	return err
}

// Put takes in a pair of the store, and reports whether it is a request in quarantine.
func (q *Quarantine) Put(p kv.Pair, now time.Time) bool {
	f, ok := printOf(p.Key)
	if !ok {
		return strings.HasPrefix(p.Key, prefix)
	}
	var text wire.Quarantine
	if err := proto.Unmarshal(p.Value, &text); err != nil {
		q.Log.Warn().Err(err).Str("key", p.Key).Msg("quarantined request of the store not understood")
		return true
	}
	q.mu.Lock()
	q.stored[f] = true
	q.mu.Unlock()
	if left := min(time.UnixMilli(text.GetUntilUnixMillis()).Sub(now), lasts); left > 0 {
		q.adopt(f, left, "the store", now)
	}
	return true
}

// Gone takes in that a key has gone, and reports whether it was a request in quarantine. One
// whose lease lapsed too early is written again.
func (q *Quarantine) Gone(key string, now time.Time) bool {
	f, ok := printOf(key)
	if !ok {
		return strings.HasPrefix(key, prefix)
	}
	q.mu.Lock()
	delete(q.stored, f)
	q.mu.Unlock()
	if q.known.Barred(f, now) > leastLeft {
		q.write(f)
	}
	return true
}

// isStored reports whether the store holds a request.
func (q *Quarantine) isStored(f fingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stored[f]
}

// printOf returns the request that a key of the store stands for.
func printOf(key string) (fingerprint.Fingerprint, bool) {
	text, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(text, printBase, 64)
	return fingerprint.Fingerprint(n), err == nil
}
