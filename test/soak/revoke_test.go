package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var cutSeconds = flag.Int("soak.cut", 8, "seconds for which gateways are cut off from the store while keys are revoked")

// Sizes of the tests with keys that are revoked during a cut.
const (
	cutGateways = 5
	keyCallers  = 40
	// manyRoutes is a number of routes with which a configuration fills a fifth of an answer of the store.
	manyRoutes = 900
)

// TestKeysRevokedDuringACut cuts gateways off from the store while the configuration grows, changes quickly and loses
// keys: once the cut ends, none of them may accept a key that was revoked before the request was sent, by the bound.
func TestKeysRevokedDuringACut(t *testing.T) {
	conditions := []linkCondition{reset, silent, repliesOnly}
	for i := range uint64(*seeds) {
		seed := *from + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { revokeDuringCut(t, seed, conditions[seed%3]) })
	}
}

// revokeDuringCut runs a seed with a cut of a kind.
func revokeDuringCut(t *testing.T, seed uint64, condition linkCondition) {
	dir := t.TempDir()
	w := &world{t: t, dir: dir, backends: newBackends(t, 0), r: rand.New(rand.NewPCG(seed, 17))}
	for i := range cutGateways {
		w.nodes = append(w.nodes, newNode(t, dir, fmt.Sprint("gateway-", i), []string{"north", otherHall}[i%2], w.backends.site.StoreAddress, int(seed/3%2)*flatFleet, true))
	}
	require.Eventually(t, w.serves, startWait, 100*time.Millisecond)
	c := &callers{backends: w.backends, nodes: w.nodes}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range keyCallers {
		group.Go(func() { c.runKeys(ctx, seed*1000+uint64(i)) })
	}
	w.backends.change(func() { w.backends.grown = manyRoutes })
	time.Sleep(time.Second)
	cut := time.Now()
	for _, n := range w.nodes {
		n.store.setCondition(condition)
	}
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		w.backends.change(func() { w.backends.grown++ })
	}
	for range 4 {
		time.Sleep(100 * time.Millisecond)
		w.backends.revoke()
	}
	time.Sleep(time.Until(cut.Add(time.Duration(*cutSeconds) * time.Second)))
	for i, n := range w.nodes {
		suspended := w.r.IntN(2) == 0
		if suspended {
			n.signal(syscall.SIGSTOP)
		}
		n.store.setCondition(pass)
		group.Go(func() {
			time.Sleep(time.Duration(100*i) * time.Millisecond)
			n.signal(syscall.SIGCONT)
		})
	}
	time.Sleep(reconnectBound)
	recovered := time.Now()
	time.Sleep(2 * time.Second)
	cancel()
	group.Wait()
	w.checkKeys(c)
	served, late, accepted := 0, 0, 0
	for _, s := range c.all {
		if s.at.After(cut.Add(revokeBound)) && s.status == http.StatusOK {
			accepted++
		}
		if _, revoked := w.backends.revoked[s.key]; s.at.After(recovered) && !revoked {
			late++
			if s.status == http.StatusOK {
				served++
			}
		}
	}
	assert.Greater(t, 2*served, late, "too few requests were served after the cut")
	t.Logf("%d requests, %d served later than the bound after the cut began, %d of %d at its end", len(c.all), accepted, served, late)
}

// runKeys sends requests with a valid key, or one that has been revoked, to each gateway in turn until ctx ends,
// whether it is ready or not.
func (c *callers) runKeys(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 18))
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 12 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("v%d-%d", seed, i)
		n := c.nodes[(int(seed)+i)%len(c.nodes)]
		c.add(c.send(&client, exchange{id: id, path: pathPrefixes[i%2] + id, key: c.backends.anyKey(r), node: n, parts: parts(id)}, id))
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

// anyKey returns a random key, valid or revoked.
func (b *backends) anyKey(r *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for key := range b.keys {
		list = append(list, key)
	}
	for key := range b.revoked {
		list = append(list, key)
	}
	return list[r.IntN(len(list))]
}
