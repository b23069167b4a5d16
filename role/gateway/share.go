package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/grademill/grademill/adapter/watchhttp"
	"github.com/grademill/grademill/state/watchcache"
)

// changesHead bounds the reading of the head of a question for changes.
const changesHead = 2 * time.Second

// firstWords is how long a gateway that has started takes those that the store names for running: the
// digests of a large hall are seconds apart, and by a part of them it would take others for those to ask.
const firstWords = 5 * time.Second

// initFeed sets up where the store's changes come from.
func (g *Gateway) initFeed() {
	g.feed = watchcache.Feed{
		Store: g.Store, Source: watchhttp.NewClient(), Sources: g.sources, Cache: &g.cache, Log: g.Log,
		Age:    func() time.Duration { return g.proofAge() },
		LateIn: func() time.Duration { return g.policy().LateIn(g.proofAge()) },
	}
}

// sources returns the addresses of the gateways that ask the store for this one, none when
// it is to ask the store itself, and whether it is to do so when these have no answer.
func (g *Gateway) sources() (list []string, standby bool) {
	o := g.gossip.Overlay()
	if time.Since(g.started) < firstWords {
		o.Others = g.peers.Members(g.Name)
		o = o.Trusting()
	}
	next, standby := o.Standbys()
	for _, m := range append(o.Seats(), next...) {
		list = append(list, m.Address)
	}
	return list, standby
}

// serveChanges answers the questions of other gateways for changes until ctx ends.
func (g *Gateway) serveChanges(ctx context.Context) {
	server := &http.Server{Addr: g.Address, Handler: watchhttp.Handler(&g.cache), ReadHeaderTimeout: changesHead}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // who asks turns to another gateway
	defer stop()
	if err := server.ListenAndServe(); ctx.Err() == nil {
		g.Log.Error().Err(err).Msg("other gateways cannot ask this one for changes")
	}
}
