//go:build review

package standin_test

import (
	"fmt"
	"time"
)

const (
	// foreignKey is a key that no configuration has ever held.
	foreignKey = "zzzzzzzzzzzzzzzzzzzz"
	// keysTimeout is the timeout of the route, and the callers' patience.
	keysTimeout = 2 * time.Second
	// keysMargin is added to the bound of the revocation before requests are sent.
	keysMargin = time.Second
	// keysGap is the time between the two configurations that take keys away.
	keysGap = 1500 * time.Millisecond
)

// playKeys takes away the keys of one tenant, then those of the last one. The tenants stay in the configuration, so that
// every request must bear a key, and none is left.
func playKeys(w *world, trouble bool) (bool, error) {
	held := []tenant{{"north", []string{"k1aaaaaaaaaaaaaaaaaa", "k2bbbbbbbbbbbbbbbbbb"}, 1}, {"south", []string{"k3cccccccccccccccccc"}, 1}}
	w.configure(keysTimeout, held)
	var runners []*runner
	for i := range 3 {
		r := &runner{ID: fmt.Sprintf("i-%d", i+1), Work: 60 * time.Millisecond}
		if err := r.start(w); err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := w.begin(); err != nil {
		return false, err
	}
	tenantOf := map[string]string{}
	for _, t := range held {
		for _, key := range t.Keys {
			tenantOf[key] = t.Name
		}
	}
	channels := make([]*channel, 0, len(w.callers))
	for _, address := range w.callers {
		c, err := open(address)
		if err != nil {
			return false, err
		}
		defer c.close()
		channels = append(channels, c)
	}
	sent := make(map[string]answer)
	round := func(name string) {
		for i, c := range channels {
			for j, key := range []string{held[0].Keys[0], held[0].Keys[1], held[1].Keys[0], foreignKey, ""} {
				a := c.do(request{id: fmt.Sprintf("%s-%d-%d", name, i+1, j+1), key: key, body: "member 7", patience: keysTimeout})
				sent[a.id] = a
				w.note("front-%d: %s", i+1, a)
			}
		}
	}
	round("before")
	ack := time.Now()
	if trouble {
		w.configure(keysTimeout, []tenant{{"north", []string{}, 1}, held[1]})
		time.Sleep(keysGap)
		ack = w.configure(keysTimeout, []tenant{{"north", []string{}, 1}, {"south", []string{}, 1}})
	}
	time.Sleep(time.Until(ack.Add(revocation + keysMargin)))
	round("after")
	time.Sleep(time.Second)
	broken := 0
	for _, r := range runners {
		for _, one := range r.ran() {
			a := sent[one.id]
			revoked := trouble && a.sent.After(ack.Add(revocation))
			switch owner, known := tenantOf[a.key]; {
			case !known:
				w.note("ROUTE: %s ran with key %q, which no configuration has ever held", one.id, a.key)
			case revoked:
				w.note("CONFIG: %s ran, sent %.1f s after the ack of the configuration that removes its key", one.id, a.sent.Sub(ack).Seconds())
			case owner != one.tenant:
				w.note("UNASKED: %s ran for tenant %q, its key is held by %q", one.id, one.tenant, owner)
			default:
				continue
			}
			broken++
		}
	}
	if len(sent) == 0 || sent["before-1-1"].status != 200 {
		return false, fmt.Errorf("the requests before the change were not served")
	}
	w.note("%d runs break a rule", broken)
	return broken > 0, nil
}
