package apportion_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/apportion"
	"github.com/grademill/grademill/decide/throttle"
	"github.com/grademill/grademill/standin/site"
)

// A simulated fleet that shares a limit: a virtual clock that advances in steps, gateways in three
// halls with their demand, and digests that arrive after a delay.
const (
	step        = 10 * time.Millisecond
	digestDelay = 30 * time.Millisecond
	duration    = 30 * time.Second
	flatFleet   = 12
	even        = 1
	// minUtilization is the fraction of a limit that must be used by callers that do not wait.
	minUtilization = 0.5
)

// node is a simulated gateway. demand is the rate of requests that it receives for the endpoint,
// per second.
type node struct {
	name     string
	hall     int
	demand   func(at time.Duration) float64
	joins    time.Duration
	throttle throttle.Throttle
	// claims are the latest claims received, by gateway or hall.
	claims map[string]apportion.Claim
}

// digest is a claim in flight.
type digest struct {
	to    *node
	from  string
	claim apportion.Claim
	due   time.Duration
}

// simulation is a fleet of gateways in front of one endpoint.
type simulation struct {
	nodes []*node
	limit func(at time.Duration) float64
	even  float64
	// partitioned reports whether two gateways cannot reach each other.
	partitioned func(a, b *node, at time.Duration) bool

	random   *rand.Rand
	inFlight []digest
	sent     []time.Time
}

// newSimulation returns a simulation of n gateways with the given demands.
func newSimulation(n int, demand func(i int) float64) *simulation {
	m := &simulation{random: rand.New(rand.NewPCG(1, uint64(n))), limit: always(3.8)}
	for i := range n {
		w := demand(i)
		m.nodes = append(m.nodes, &node{
			name: fmt.Sprint("gateway-", i), hall: i % 3, claims: map[string]apportion.Claim{},
			demand: func(time.Duration) float64 { return w },
		})
	}
	return m
}

func always(limit float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return limit }
}

var epoch = time.Date(2026, 11, 2, 10, 0, 0, 0, time.UTC)

// run returns the rate of requests that reach the endpoint, per second, and the largest number
// within site.LimitSpan in excess of the number allowed there (negative if all spans are within
// it).
func (m *simulation) run() (goodput float64, excess int) {
	digestInterval := m.digestInterval()
	for at := time.Duration(0); at < duration; at += step {
		now := epoch.Add(at)
		m.deliver(at)
		for i, n := range m.nodes {
			if at < n.joins {
				continue
			}
			if limit := m.limit(at); limit != n.throttle.Limit().Rate { // answers state the limit
				n.throttle = n.throttle.WithLimit(throttle.Limit{Rate: limit, At: now}, now, m.random.Float64())
			}
			if (at+time.Duration(i)*step)%digestInterval < step {
				m.sendClaim(n, at)
				n.throttle = n.throttle.WithShare(m.share(n, at), now)
			}
			for range m.arrivals(n.demand(at)) {
				n.throttle = n.throttle.WithDemand(now)
				if n.throttle.Held(now) == throttle.NotHeld {
					n.throttle = n.throttle.WithRequest(now)
					m.sent = append(m.sent, now)
				}
			}
		}
	}
	return float64(len(m.sent)) / duration.Seconds(), m.maxExcess()
}

// digestInterval returns the time between two digests of a gateway.
func (m *simulation) digestInterval() time.Duration {
	return 150 * time.Millisecond * time.Duration(max(len(m.nodes)/3, flatFleet)) / flatFleet
}

// arrivals draws the number of requests that arrive in a step.
func (m *simulation) arrivals(perSecond float64) int {
	n := 0
	for p := m.random.ExpFloat64(); p < perSecond*step.Seconds(); p += m.random.ExpFloat64() {
		n++
	}
	return n
}

// sendClaim sends a gateway's claim to the others of its hall, or to all in a flat fleet. In a
// large fleet the first gateway of a hall also sends the hall's sum to the other halls.
func (m *simulation) sendClaim(n *node, at time.Duration) {
	own := apportion.Claim{Name: n.name, Members: 1, Wanted: n.throttle.Demand(epoch.Add(at))}
	sum := apportion.Claim{Members: 1, Wanted: own.Wanted}
	for _, c := range n.claims {
		if c.Name != "" {
			sum.Members++
			sum.Wanted += c.Wanted
		}
	}
	for _, other := range m.nodes {
		if other == n || m.partitioned != nil && m.partitioned(n, other, at) {
			continue
		}
		switch {
		case len(m.nodes) <= flatFleet || other.hall == n.hall:
			m.inFlight = append(m.inFlight, digest{other, n.name, own, at + digestDelay})
		case n == m.nodes[n.hall]:
			m.inFlight = append(m.inFlight, digest{other, fmt.Sprint("hall-", n.hall), sum, at + digestDelay})
		}
	}
}

func (m *simulation) deliver(at time.Duration) {
	for len(m.inFlight) > 0 && m.inFlight[0].due <= at {
		m.inFlight[0].to.claims[m.inFlight[0].from] = m.inFlight[0].claim
		m.inFlight = m.inFlight[1:]
	}
}

// share returns a gateway's share. It drops the claims of gateways that cannot reach it.
func (m *simulation) share(n *node, at time.Duration) float64 {
	d := apportion.Division{
		Key: "endpoint", Limit: m.limit(at), Fleet: len(m.nodes), EvenShare: m.even,
		Own: apportion.Claim{Name: n.name, Members: 1, Wanted: n.throttle.Claim(epoch.Add(at), 2*m.digestInterval())},
	}
	for _, other := range m.nodes {
		if m.partitioned != nil && m.partitioned(n, other, at) {
			delete(n.claims, other.name)
		}
	}
	for _, c := range n.claims {
		if c.Name != "" {
			d.Individual = append(d.Individual, c)
		} else {
			d.HallSums = append(d.HallSums, c)
		}
	}
	return d.Share()
}

// maxExcess returns by how much the fullest span exceeds the number allowed there.
func (m *simulation) maxExcess() int {
	excess, first := -site.Allowed(0), 0
	for i, at := range m.sent {
		for at.Sub(m.sent[first]) >= site.LimitSpan {
			first++
		}
		excess = max(excess, i-first+1-site.Allowed(m.limit(at.Sub(epoch))))
	}
	return excess
}

// Both an even division and one by demand must keep the limit. Division by demand must use at least
// minUtilization of it, however uneven the demand is.
func TestGatewaysTogetherKeepTheLimit(t *testing.T) {
	all := func(perSecond float64) func(int) float64 {
		return func(int) float64 { return perSecond }
	}
	oneHall := func(i int) float64 {
		if i%3 == 0 {
			return 6
		}
		return 0
	}
	one := func(i int) float64 {
		return float64(30 * max(1-i, 0))
	}
	for _, c := range []struct {
		name   string
		size   int
		demand func(int) float64
		limit  float64
	}{
		{"one hall of five", 5, oneHall, 3.8},
		{"one gateway of five", 5, one, 3.8},
		{"all of five", 5, all(6), 3.8},
		{"all of five, high limit", 5, all(100), 100},
		{"all of five, low limit", 5, all(2), 0.2},
		{"one hall of 68", 68, oneHall, 3.8},
		{"all of 68", 68, all(3), 20},
		{"one gateway of 68", 68, one, 3.8},
		{"one hall of 430", 430, oneHall, 3.8},
		{"all of 430", 430, all(2), 3.8},
		{"all of 430, low limit", 430, all(1), 0.2},
		{"one gateway of 430", 430, one, 3.8},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runWith := func(evenShare float64) (float64, int) {
				m := newSimulation(c.size, c.demand)
				m.limit, m.even = always(c.limit), evenShare
				return m.run()
			}
			evenly, excessEvenly := runWith(even)
			byDemand, excess := runWith(apportion.DefaultEvenShare)
			t.Logf("limit %.3g/s: %.2f/s evenly (worst excess %d), %.2f/s by demand (%d)", c.limit, evenly, excessEvenly, byDemand, excess)
			assert.LessOrEqual(t, excessEvenly, 0)
			assert.LessOrEqual(t, excess, 0)
			assert.GreaterOrEqual(t, byDemand, minUtilization*c.limit)
		})
	}
}

func TestLimitIsKeptWhileFleetChanges(t *testing.T) {
	for _, size := range []int{5, 68, 430} {
		for name, change := range map[string]func(m *simulation){
			"gateways join": func(m *simulation) {
				for i, n := range m.nodes {
					n.joins = time.Duration(i%7) * 3 * time.Second
				}
			},
			"one gateway partitioned": func(m *simulation) {
				m.partitioned = func(a, b *node, at time.Duration) bool {
					return at > 10*time.Second && at < 20*time.Second && (a.name == "gateway-0") != (b.name == "gateway-0")
				}
			},
			"halls partitioned": func(m *simulation) {
				m.partitioned = func(a, b *node, at time.Duration) bool { return at > 10*time.Second && a.hall != b.hall }
			},
			"callers move": func(m *simulation) {
				for i, n := range m.nodes {
					n.demand = func(at time.Duration) float64 {
						return 6 * float64((int(at/(3*time.Second))+i)%2)
					}
				}
			},
			"the limit changes": func(m *simulation) {
				m.limit = func(at time.Duration) float64 {
					return []float64{3.8, 5.1}[int(at/(7*time.Second))%2]
				}
			},
		} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				t.Parallel()
				m := newSimulation(size, func(int) float64 { return 6 })
				m.even = apportion.DefaultEvenShare
				change(m)
				goodput, excess := m.run()
				t.Logf("%.2f/s, worst excess %d", goodput, excess)
				assert.LessOrEqual(t, excess, 0)
				assert.Positive(t, goodput)
			})
		}
	}
}

func TestSharesAddUpToTheLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		var claims []apportion.Claim
		for i := range 1 + random.IntN(40) {
			claims = append(claims, apportion.Claim{
				Name: fmt.Sprint(i), Members: 1, Wanted: max(random.Float64()*20-5, 0),
			})
		}
		limit := 0.1 + random.ExpFloat64()*10
		sum := 0.0
		for i, own := range claims {
			sum += apportion.Division{
				Key: "endpoint", Limit: limit, Fleet: len(claims), Own: own, EvenShare: apportion.DefaultEvenShare,
				Individual: slices.Concat(claims[:i], claims[i+1:]),
			}.Share()
		}
		require.InEpsilon(t, limit, sum, 1e-9, "%v", claims)
	}
}
