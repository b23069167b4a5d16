package requestlog_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/requestlog"
)

const log = `{"process":"g1","time":"2026-12-02T10:00:00Z","endpoint":"old","address":"10.0.0.1:80","message":"endpoint gone"}
{"process":"g1","time":"2026-12-02T10:00:50Z","endpoint":"e","address":"10.0.0.1:80","request":"other","message":"endpoint holds requests up"}
{"process":"g2","time":"2026-12-02T10:00:51Z","endpoint":"e","address":"10.0.0.1:80","message":"endpoint changed"}
{"process":"g1","time":"2026-12-02T10:00:52Z","endpoint":"x","address":"10.0.0.9:80","message":"endpoint changed"}
panic: not JSON
{"process":"g1","time":"2026-12-02T10:00:53Z","request":"r1","chain":"10.0.0.1:80[0,8)","events":3,"message":"chain broke"}
{"process":"g1","time":"2026-12-02T10:00:54.5Z","request":"r1","outcome":"broken off","message":"request ended"}
{"process":"g1","time":"2026-12-02T10:00:55Z","request":"r2","outcome":"served","message":"request ended"}
`

func TestStory(t *testing.T) {
	s := &requestlog.Log{Request: "r1", Before: 10 * time.Second}
	skipped, err := s.Read(strings.NewReader(log))
	require.NoError(t, err)
	require.Equal(t, 1, skipped)
	var messages []string
	for _, l := range s.Lines() {
		messages = append(messages, l.Message)
	}
	require.Equal(t, []string{"endpoint holds requests up", "chain broke", "request ended"}, messages)
}

// messagesOf returns the processes and messages of the lines relevant to request r1 in a log.
func messagesOf(t *testing.T, log string) []string {
	s := &requestlog.Log{Request: "r1", Before: time.Second}
	_, err := s.Read(strings.NewReader(log))
	require.NoError(t, err)
	var list []string
	for _, l := range s.Lines() {
		list = append(list, l.Process+" "+l.Message)
	}
	return list
}

// The story of a request rejected because endpoints crashed under an earlier attempt must include
// these crashes, whichever gateway found them, and however long ago.
func TestStoryOfAQuarantinedRequest(t *testing.T) {
	const lines = `{"process":"g2","time":"2026-12-02T09:50:00Z","endpoint":"a","address":"10.0.0.1:80","ended":true,"begun":["f0","f1"],"message":"endpoint does not answer"}
{"process":"g2","time":"2026-12-02T09:50:01Z","endpoint":"b","address":"10.0.0.2:80","ended":true,"begun":["f1"],"message":"endpoint does not answer"}
{"process":"g3","time":"2026-12-02T09:50:02Z","print":"f0","message":"request is quarantined"}
{"process":"g3","time":"2026-12-02T09:50:03Z","print":"f1","message":"request is quarantined"}
{"process":"g1","time":"2026-12-02T10:00:00Z","request":"r1","print":"f0","outcome":"not run","message":"request ended"}
`
	require.Equal(t, []string{"g2 endpoint does not answer", "g3 request is quarantined", "g1 request ended"}, messagesOf(t, lines))
}

// The story of a request refused for a part of its prompt must include what became of others with that part, and not the
// ends under parts that it has in common with all.
func TestStoryOfAQuarantinedPart(t *testing.T) {
	const lines = `{"process":"g2","time":"2026-12-02T09:50:00Z","endpoint":"a","address":"10.0.0.1:80","ended":true,"begun":["f0","p0","p1"],"message":"endpoint does not answer"}
{"process":"g2","time":"2026-12-02T09:50:01Z","endpoint":"b","address":"10.0.0.2:80","ended":true,"begun":["f1","p0"],"message":"endpoint does not answer"}
{"process":"g3","time":"2026-12-02T09:50:02Z","print":"p1","part":"91bd3f06","message":"request is quarantined"}
{"process":"g1","time":"2026-12-02T10:00:00Z","request":"r1","print":"f9","parts":["91bd3f06=p1","5c1e07a2=p0"],"cause":"91bd3f06=p1","outcome":"not run","message":"request ended"}
`
	require.Equal(t, []string{"g2 endpoint does not answer", "g3 request is quarantined", "g1 request ended"}, messagesOf(t, lines))
}

// The story of a request that reached a departed endpoint must include which gateways knew of the
// departure, and since when.
func TestStoryOfARequestToALeavingEndpoint(t *testing.T) {
	const lines = `{"process":"g2","time":"2026-12-02T09:50:00Z","endpoint":"a","address":"10.0.0.1:80","leaving":false,"message":"endpoint changed"}
{"process":"g2","time":"2026-12-02T09:50:01Z","endpoint":"a","address":"10.0.0.1:80","leaving":true,"message":"endpoint changed"}
{"process":"g2","time":"2026-12-02T09:50:02Z","endpoint":"b","message":"endpoint gone"}
{"process":"g3","time":"2026-12-02T09:50:03Z","endpoint":"a","gateway":"g2","message":"endpoint has left by the word of another gateway"}
{"process":"g1","time":"2026-12-02T10:00:00Z","request":"r1","endpoint":"a","record_revision":7,"outcome":"served","message":"request ended"}
`
	require.Equal(t, []string{"g2 endpoint changed", "g3 endpoint has left by the word of another gateway", "g1 request ended"}, messagesOf(t, lines))
}

func ExampleLog() {
	s := &requestlog.Log{Request: "r1", Before: time.Second}
	if _, err := s.Read(strings.NewReader(log)); err != nil {
		fmt.Println(err)
	}
	if err := s.Write(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	//    +0.000s  g1  chain broke  chain="10.0.0.1:80[0,8)"  events=3  request="r1"
	//    +1.500s  g1  request ended  outcome="broken off"  request="r1"
}

func FuzzRead(f *testing.F) {
	f.Add(log)
	f.Fuzz(func(t *testing.T, text string) {
		s := &requestlog.Log{Request: "r1", Before: time.Hour}
		if _, err := s.Read(strings.NewReader(text)); err == nil {
			require.NoError(t, s.Write(&strings.Builder{}))
		}
	})
}
