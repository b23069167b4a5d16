package gateway_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/standin/site"
	"github.com/grademill/grademill/wire/gossip"
)

// A gateway knows of the orders that another one has given, before the endpoints' records
// tell of them: layers that an endpoint has been ordered to give up get nothing new.
func TestLayersGivenUpGetNothingNew(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	var first *site.Endpoint
	for _, c := range cards {
		if from, _ := c.Layers(); from == 0 {
			first = c
		}
	}
	text, err := proto.Marshal(&gossip.Digest{Gateway: "gateway-2", Incarnation: 1, Number: 1, Uses: []*gossip.Use{
		{Endpoint: first.ID, Pace: 1000, OrderedFirst: 7, OrderedEnd: 8},
	}})
	require.NoError(t, err)
	socket, err := net.Dial("udp4", w.gateway.Address)
	require.NoError(t, err)
	defer socket.Close() //nolint:errcheck // a test's socket
	served := func() int {
		require.Equal(t, http.StatusOK, w.do(w.plan("/plan/1", 2)).StatusCode)
		return len(first.Seen())
	}
	w.eventually(func() bool { // until the digest has been taken in
		_, err := socket.Write(text)
		require.NoError(t, err)
		before := len(first.Seen())
		return served() == before && served() == before && served() == before && served() == before
	})
	before := len(first.Seen())
	for range 20 {
		served()
	}
	require.Len(t, first.Seen(), before)
}
