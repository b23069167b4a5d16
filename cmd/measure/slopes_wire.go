package main

import (
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/wire"
)

// message is the name of a message with its encoded size.
type message struct {
	name  string
	bytes int
}

func messages() []message {
	id := make([]byte, 16)
	load := &wire.Load{Endpoint: "endpoint-01234", Sessions: 40, Limit: 60, StepMicros: 12000, Queue: 9, Batch: 32}
	brief := proto.Clone(load).(*wire.Load)
	brief.Endpoint = ""
	beat := &wire.Heartbeat{Incarnation: 1796213755043321508, Load: brief, EntriesHash: 1 << 60, Term: 40, Epoch: 2000}
	full := proto.Clone(beat).(*wire.Heartbeat)
	full.Self = &wire.Introduction{
		Endpoint: "endpoint-01234", Address: "10.1.2.3:7000", Hall: "rose-hill", Service: "assistant", First: 8, End: 16,
	}
	step := &wire.Step{Request: id, Attempt: 1, Stage: 2, Position: 300, Count: 1}
	loaded := proto.Clone(step).(*wire.Step)
	loaded.Loads = []*wire.Load{load, load, load}
	ask := &wire.SyncRequest{
		Self: &wire.Peer{Name: "entry-123", Address: "10.1.2.4:7000", Hall: "rose-hill"}, Revision: 12000, EntriesHash: 1 << 60,
	}
	const change = 330
	return []message{
		{"step of one position, without its activation", proto.Size(step)},
		{"step with load reports, one in 16", proto.Size(loaded)},
		{"token", proto.Size(&wire.Token{Request: id, Attempt: 1, Position: 300, Token: 31000})},
		{"cancel", proto.Size(&wire.Cancel{Request: id, Attempt: 1})},
		{"heartbeat, as a frame", frameSize(&wire.Batch{Heartbeats: []*wire.Heartbeat{beat}})},
		{"heartbeat with introduction, one in 8", frameSize(&wire.Batch{Heartbeats: []*wire.Heartbeat{full}})},
		{"heartbeat, were it JSON-RPC", jsonSize("heartbeat", full)},
		{"question for changes, as JSON-RPC", jsonSize("sync", ask)},
		{"reply to it with nothing new", jsonSize("", &wire.SyncReply{Revision: 12000})},
		{"reply to it with one change", jsonSize("", &wire.SyncReply{Revision: 12000, Changes: [][]byte{make([]byte, change)}})},
		{"claim, as stored", len(claimRecord())},
	}
}

// frameSize returns the size of a frame that carries b, with its length prefix.
func frameSize(b *wire.Batch) int {
	const head = 4
	return head + proto.Size(b)
}

// envelope is the text that JSON-RPC adds to parameters or a result.
const envelope = `{"method":"","params":,"id":1234,"jsonrpc":"2.0"}` + "\n"

func jsonSize(method string, m proto.Message) int {
	text, _ := protojson.Marshal(m)
	return len(envelope) + len(method) + len(text)
}
