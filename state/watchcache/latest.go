package watchcache

import (
	"context"
	"slices"

	"github.com/grademill/grademill/port/kv"
)

// addLatest adds the value of the key Latest, as the store has it now, to a part of the changes. If the store does not
// answer, the changes bring it later.
func (f *Feed) addLatest(ctx context.Context, pairs []kv.Pair) []kv.Pair {
	if f.Latest == "" {
		return pairs
	}
	page, err := f.Store.Scan(ctx, f.Latest, "")
	if err != nil {
		f.Log.Info().Err(err).Str("key", f.Latest).Msg("the newest value is not known before the changes that lead to it")
		return pairs
	}
	for _, p := range page.Pairs {
		if p.Key == f.Latest {
			pairs = append(slices.Clone(pairs), p)
		}
	}
	return pairs
}

// newestOf returns the changes without those of a key that another of them supersedes. An empty key has none.
func newestOf(key string, pairs []kv.Pair) []kv.Pair {
	newest := uint64(0)
	for _, p := range pairs {
		if p.Key == key {
			newest = max(newest, p.Revision)
		}
	}
	return slices.DeleteFunc(pairs, func(p kv.Pair) bool { return p.Key == key && p.Revision < newest })
}
