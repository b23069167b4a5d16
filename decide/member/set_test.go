package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/member"
	"github.com/grademill/grademill/wire"
)

const keep = time.Minute

func peer(address string) *wire.Peer {
	return &wire.Peer{Name: address, Address: address}
}

func addresses(peers []*wire.Peer) []string {
	all := []string{}
	for _, p := range peers {
		all = append(all, p.GetAddress())
	}
	return all
}

func TestListedHeardAndReportedEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	s := member.Set{Retention: keep}
	s.ApplyHostList(now, []*wire.Peer{peer("b"), peer("a")})
	require.Equal(t, []string{"a", "b"}, addresses(s.All()))
	s.RecordDirect(now, peer("c"))
	s.RecordReported(now, peer("d"))
	require.Equal(t, []string{"a", "b", "c", "d"}, addresses(s.All()))
	require.Equal(t, []string{"a", "b", "c"}, addresses(s.Shared()))
	s.ApplyHostList(now, nil)
	require.Len(t, s.All(), 4, "an empty list changes nothing")
	later := now.Add(keep + time.Second)
	s.RecordDirect(later, peer("c"))
	s.Expire(later)
	require.Equal(t, []string{"a", "b", "c"}, addresses(s.All()))
	s.ApplyHostList(later, []*wire.Peer{peer("a")})
	require.Equal(t, []string{"a", "c"}, addresses(s.All()))
}

// Two processes that report a dead entry to each other still expire it.
func TestReportsDoNotKeepADeadEntryAlive(t *testing.T) {
	now := time.Unix(1000, 0)
	x, y := member.Set{Retention: keep}, member.Set{Retention: keep}
	x.RecordDirect(now, peer("dead"))
	for range 10 {
		for _, p := range x.Shared() {
			y.RecordReported(now, p)
		}
		for _, p := range y.Shared() {
			x.RecordReported(now, p)
		}
		now = now.Add(keep / 2)
		x.Expire(now)
		y.Expire(now)
	}
	require.Empty(t, x.All())
	require.Empty(t, y.All())
}
