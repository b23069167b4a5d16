package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/grademill/grademill/adapter/watchhttp"
	"github.com/grademill/grademill/state/watchcache"
)

// changesHeaderTimeout bounds the reading of the header of a request for changes.
const changesHeaderTimeout = 2 * time.Second

// firstDigests is how long after its start a gateway assumes that all gateways named in the store
// are running. The digests of a large hall are seconds apart, and with only some of them received
// it would choose the wrong gateways as sources of changes.
const firstDigests = 5 * time.Second

// initFeed sets up the source of the store's changes.
func (g *Gateway) initFeed() {
	g.feed = watchcache.Feed{
		Store: g.Store, Source: watchhttp.NewClient(), Sources: g.sources, Cache: &g.cache, Latest: g.Decoders.Catalog, Log: g.Log,
		Age:           func() time.Duration { return g.proofAge() },
		TimeUntilLate: func() time.Duration { return g.policy().TimeUntilLate(g.proofAge()) },
	}
}

// sources returns the addresses of the gateways that this one asks for changes instead of the
// store, none if it is to ask the store itself. standby reports whether it asks the store if none
// of them answers.
func (g *Gateway) sources() (list []string, standby bool) {
	o := g.gossip.Overlay()
	if time.Since(g.started) < firstDigests {
		o.Others = g.peers.Members(g.Name)
		o = o.AssumeHallHeard()
	}
	next, standby := o.StandbyStoreReaders()
	for _, m := range append(o.StoreReaders(), next...) {
		list = append(list, m.Address)
	}
	return list, standby
}

// serveChanges answers requests of other gateways for changes until ctx ends.
func (g *Gateway) serveChanges(ctx context.Context) {
	server := &http.Server{Addr: g.Address, Handler: watchhttp.Handler(&g.cache), ReadHeaderTimeout: changesHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // clients turn to another gateway
	defer stop()
	if err := server.ListenAndServe(); ctx.Err() == nil {
		g.Log.Error().Err(err).Msg("cannot serve changes of the store to other gateways")
	}
}
