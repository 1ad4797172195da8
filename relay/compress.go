package relay

import (
	"bytes"
	"sync"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"github.com/pointpass/pointpass/rpc"
	"github.com/pointpass/pointpass/store"
)

// minCompressBytes is the size from which rows are compressed. Smaller answers fit into a
// few packets.
const minCompressBytes = 4 << 10

// maxDecompressedBytes bounds the decompressed size of an answer. The largest table, the
// entries of 12,000 workers, takes 4 MB.
const maxDecompressedBytes = 64 << 20

// maxDecodedRowsBytes bounds the memory of its rows: decodedBytes counts what is nested twice.
const maxDecodedRowsBytes = 3 * maxDecompressedBytes

// compressor compresses the rows of answers. Many daemons send the same request: after a
// change of a 300 KB configuration 60 at once, whose answers would fill a relay's link for
// a second. It caches the last answer, which is thus compressed once. It is safe for
// concurrent use.
type compressor struct {
	mu   sync.Mutex
	last compressedRows
}

// compressedRows are the compressed rows of an answer, and the request that they answer.
type compressedRows struct {
	since, at store.Position
	rows      int
	data      []byte
}

// setRows sets the rows of a reply to a request for the changes since a position.
func (p *compressor) setRows(reply *rpc.ChangesReply, since store.Position, s store.Snapshot) {
	size := 0
	for _, r := range s.Rows {
		size += len(r.Key) + len(r.Value)
	}
	if size < minCompressBytes {
		reply.Rows = rowsToProto(s.Rows)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	last := &p.last
	if last.since != since || last.at != s.At || last.rows != len(s.Rows) {
		data, err := proto.Marshal(&rpc.StoreRows{Rows: rowsToProto(s.Rows)})
		if err != nil { // a key is invalid UTF-8
			reply.Rows = rowsToProto(s.Rows)
			return
		}
		p.last = compressedRows{since: since, at: s.At, rows: len(s.Rows), data: bytes.Clone(s2.Encode(nil, data))} // the buffer is as long as the rows
	}
	reply.Packed = last.data
}

// rowsFromReply returns the rows of a reply.
func rowsFromReply(reply *rpc.ChangesReply) ([]store.Row, error) {
	messages := reply.Rows
	if len(reply.Packed) > 0 {
		all, err := decompress(reply.Packed)
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

func decompress(data []byte) (*rpc.StoreRows, error) {
	n, err := s2.DecodedLen(data)
	if err != nil {
		return nil, err
	}
	if n > maxDecompressedBytes {
		return nil, &TooLongError{Bytes: n}
	}
	decoded, err := s2.Decode(nil, data)
	if err != nil {
		return nil, err
	}
	var all rpc.StoreRows
	if size := decodedBytes(all.ProtoReflect().Descriptor(), decoded); size > maxDecodedRowsBytes {
		return nil, &TooLongError{Bytes: size}
	}
	if err := proto.Unmarshal(decoded, &all); err != nil {
		return nil, err
	}
	return &all, nil
}

func rowsToProto(rows []store.Row) []*rpc.StoreRow {
	messages := make([]*rpc.StoreRow, 0, len(rows))
	for _, r := range rows {
		messages = append(messages, &rpc.StoreRow{Key: r.Key, Value: r.Value, Version: r.At.Version(), Deleted: r.Deleted})
	}
	return messages
}
