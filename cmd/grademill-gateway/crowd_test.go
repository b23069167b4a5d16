package main_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bounds of a gateway before a crowd of callers outside the limits: the memory of a small host, and a number of open
// descriptors that leaves some for connections to endpoints.
const (
	hostMemory     = 184 << 20
	descriptors    = 600
	maxDescriptors = 500
)

// Sizes of the crowds. A caller gives up writing after crowdWait.
const (
	bodyCrowd = 300
	connCrowd = 800
	crowdWait = 5 * time.Second
	pieceSize = 32 << 10
	overSize  = 8 << 20
)

// crowdCase is a crowd: count callers, each of which sends what is given, and stays.
type crowdCase struct {
	name  string
	count int
	// head holds the header lines of each request; it has no end if body is nil.
	head string
	body []byte
	// pieces is set to send the body in pieces, with pauses.
	pieces bool
}

// chunked returns data in chunks of a size, without the last one.
func chunked(data []byte, size int) []byte {
	var b bytes.Buffer
	for ; len(data) > 0; data = data[min(size, len(data)):] {
		part := data[:min(size, len(data))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	return b.Bytes()
}

func crowdCases() []crowdCase {
	data := bytes.Repeat([]byte("x"), maxBody)
	over := bytes.Repeat([]byte("x"), overSize)
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	const chunks = "Transfer-Encoding: chunked\r\n"
	return []crowdCase{
		{"whole bodies", bodyCrowd, length(maxBody), data, false},
		{"whole bodies piece by piece", bodyCrowd, length(maxBody), data, true},
		{"bodies that stop short", bodyCrowd, length(maxBody), data[1:], false},
		{"bodies that stop short piece by piece", bodyCrowd, length(maxBody), data[1:], true},
		{"large chunks that stop short", bodyCrowd, chunks, chunked(data, 64<<10), false},
		{"small chunks that stop short", bodyCrowd, chunks, chunked(data, 16), false},
		{"small chunks without end", bodyCrowd, chunks, chunked(over, 16), false},
		{"bodies far over the limit", bodyCrowd, length(1 << 30), over, false},
		{"chunks far over the limit", bodyCrowd, chunks, chunked(over, 64<<10), false},
		{"heads that stop short", connCrowd, "X-Long: " + strings.Repeat("x", 15<<10), nil, false},
		{"heads far over the limit", connCrowd, "X-Long: " + strings.Repeat("x", 1<<20), nil, false},
		{"connections without a request", connCrowd, "", nil, false},
	}
}

// send sends what a caller of the crowd has to send, on a connection that it leaves open; nil if there is none.
func (c crowdCase) send(caller string, i int) net.Conn {
	conn, err := net.DialTimeout("tcp", caller, crowdWait)
	if err != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(crowdWait))
	text := head("/freeze/1", fmt.Sprint("crowd-", i), 20*time.Second, c.head)
	if c.head == "" {
		return conn
	}
	if c.body == nil {
		text = strings.TrimSuffix(text, "\r\n")
	}
	_, err = io.WriteString(conn, text)
	rest, size := c.body, len(c.body)
	if c.pieces {
		size = pieceSize
	}
	for err == nil && len(rest) > 0 {
		_, err = conn.Write(rest[:min(size, len(rest))])
		rest = rest[min(size, len(rest)):]
		if c.pieces {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return conn
}

// openDescriptors returns the number of open descriptors of a process.
func openDescriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // empty once the process has ended
	return len(list)
}

// peakMemory returns the largest resident memory of a process so far, in bytes.
func peakMemory(t *testing.T, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err, "the process has ended")
	_, after, found := strings.Cut(string(text), "VmHWM:")
	require.True(t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	require.NoError(t, err)
	return kilobytes << 10
}

// Guards against callers outside the limits that end the process: many that send large bodies, heads or nothing at once,
// and stay. The process lives, within its memory and descriptors, and answers an ordinary request while they are there.
func TestCrowdOutsideTheLimits(t *testing.T) {
	for _, c := range crowdCases() {
		t.Run(c.name, func(t *testing.T) {
			caller, ready := freeAddress(), freeAddress()
			p := build(t, caller)
			_, _, text := startSite(t, caller, ready, p.admin, time.Millisecond)
			p.write(t, text)
			p.limitDescriptors(descriptors)
			p.run(t)
			waitReady(t, ready)

			conns := make([]net.Conn, c.count)
			most, done := 0, make(chan struct{})
			var watch, crowd sync.WaitGroup
			watch.Go(func() {
				for {
					most = max(most, openDescriptors(p.Process.Pid))
					select {
					case <-done:
						return
					case <-time.After(10 * time.Millisecond):
					}
				}
			})
			for i := range conns {
				crowd.Go(func() { conns[i] = c.send(caller, i) })
			}
			crowd.Wait()
			client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: crowdWait}
			served := func() bool {
				r, err := http.NewRequest("POST", "http://"+caller+"/renew/1", strings.NewReader("x"))
				require.NoError(t, err)
				r.Host = host
				r.Header.Set("X-Request-Id", fmt.Sprint("ordinary-", time.Now().UnixNano()))
				r.Header.Set("X-Deadline-Ms", "4000")
				answer, err := client.Do(r)
				if err != nil {
					return false
				}
				defer answer.Body.Close() //nolint:errcheck // nothing to read
				return answer.StatusCode == http.StatusOK
			}
			for deadline := time.Now().Add(waitTimeout); !served(); {
				require.True(t, time.Now().Before(deadline), "no ordinary request is answered")
				time.Sleep(50 * time.Millisecond)
			}
			close(done)
			watch.Wait()
			for _, conn := range conns {
				if conn != nil {
					_ = conn.Close() // the crowd stays until here
				}
			}
			peak := peakMemory(t, p.Process.Pid)
			t.Logf("%d MB of memory, %d descriptors", peak>>20, most)
			require.LessOrEqual(t, peak, hostMemory, "memory")
			require.LessOrEqual(t, most, maxDescriptors, "descriptors")
		})
	}
}
