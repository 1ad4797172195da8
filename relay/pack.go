package relay

import (
	"sync"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/store"
)

// leastPacked is the size in bytes from which rows are worth compressing: below it
// they fit a few packets.
const leastPacked = 4 << 10

// mostUnpacked bounds what a packed answer may unpack to, in bytes. The largest table
// known, the entries of 12,000 workers, takes 4 MB.
const mostUnpacked = 64 << 20

// packer compresses the rows of answers. Many daemons ask the same question: after a
// change of a configuration of 300 KB, 60 of them at once, which would fill a relay's
// link for a second. The last answer is kept, so that it is compressed once. It is
// safe for use by many goroutines.
type packer struct {
	mu   sync.Mutex
	last packed
}

// packed is an answer's rows, compressed, and the question that they answer.
type packed struct {
	since, at store.Position
	rows      int
	data      []byte
}

// fill puts rows that answer a question about the changes since a position into a
// reply.
func (p *packer) fill(reply *rpc.ChangesReply, since store.Position, s store.Snapshot) {
	size := 0
	for _, r := range s.Rows {
		size += len(r.Key) + len(r.Value)
	}
	if size < leastPacked {
		reply.Rows = asMessages(s.Rows)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	last := &p.last
	if last.since != since || last.at != s.At || last.rows != len(s.Rows) {
		data, err := proto.Marshal(&rpc.StoreRows{Rows: asMessages(s.Rows)})
		if err != nil { // a key that is no text
			reply.Rows = asMessages(s.Rows)
			return
		}
		p.last = packed{since: since, at: s.At, rows: len(s.Rows), data: s2.Encode(nil, data)}
	}
	reply.Packed = last.data
}

// rowsOf returns the rows of a reply.
func rowsOf(reply *rpc.ChangesReply) ([]store.Row, error) {
	messages := reply.Rows
	if len(reply.Packed) > 0 {
		all, err := unpack(reply.Packed)
		if err != nil {
			return nil, err
		}
		messages = all.Rows
	}
	rows := make([]store.Row, 0, len(messages))
	for _, r := range messages {
		rows = append(rows, store.Row{Key: r.Key, Value: r.Value, At: store.At(reply.Era, r.Version), Deleted: r.Deleted})
	}
	return rows, nil
}

func unpack(data []byte) (*rpc.StoreRows, error) {
	n, err := s2.DecodedLen(data)
	if err != nil {
		return nil, err
	}
	if n > mostUnpacked {
		return nil, &TooLongError{Bytes: n}
	}
	plain, err := s2.Decode(nil, data)
	if err != nil {
		return nil, err
	}
	var all rpc.StoreRows
	if err := proto.Unmarshal(plain, &all); err != nil {
		return nil, err
	}
	return &all, nil
}

func asMessages(rows []store.Row) []*rpc.StoreRow {
	messages := make([]*rpc.StoreRow, 0, len(rows))
	for _, r := range rows {
		messages = append(messages, &rpc.StoreRow{Key: r.Key, Value: r.Value, Version: r.At.Version(), Deleted: r.Deleted})
	}
	return messages
}
