// Package connstest provides responses that break off, for tests of what reads them.
package connstest

import (
	"net"
	"time"
)

// CutHead is a response that ends before its body is complete: within its head, or right after it.
type CutHead struct{ Name, Text string }

// CutHeads returns responses with the status 200. Fields are header lines that each of them has if its head gets so far.
func CutHeads(fields string) []CutHead {
	const status = "HTTP/1.1 200 OK\r\n"
	return []CutHead{
		{"within the status", "HTTP/1.1 20"},
		{"within the reason", "HTTP/1.1 200 O"},
		{"after the status line", status},
		{"within a name", status + fields + "X-Fil"},
		{"within a value", status + fields + "X-Filler: f"},
		{"after all fields", status + fields},
		{"within a length", status + fields + "Content-Length: 1"},
		{"after a length", status + fields + "Content-Length: 4\r\n"},
		{"after a length of zero", status + fields + "Content-Length: 0\r\n"},
		{"within the empty line", status + fields + "Content-Length: 0\r\n\r"},
		{"after the announcement of chunks", status + fields + "Transfer-Encoding: chunked\r\n"},
		{"after Connection: close", status + fields + "Connection: close\r\n"},
		{"after the type of a stream", status + fields + "Content-Type: text/event-stream\r\n"},
		{"after an interim head", "HTTP/1.1 103 Early Hints\r\n\r\n" + status + fields},
		{"within an interim head", "HTTP/1.1 103 Early Hints\r\n"},
		{"HTTP/1.0, after all fields", "HTTP/1.0 200 OK\r\n" + fields},
		{"HTTP/1.0, within the empty line", "HTTP/1.0 200 OK\r\n" + fields + "\r"},
		{"bare line ends, after all fields", "HTTP/1.1 200 OK\nX-Filler: f\n"},
		{"a whole head with a length", status + fields + "Content-Length: 4\r\n\r\n"},
		{"a whole head with chunks", status + fields + "Transfer-Encoding: chunked\r\n\r\n"},
	}
}

// pieceDelay is the time between two pieces of a response that is written in pieces.
const pieceDelay = 200 * time.Microsecond

// WriteInPieces writes a text byte by byte.
func WriteInPieces(conn net.Conn, text string) error {
	for i := range len(text) {
		if _, err := conn.Write([]byte{text[i]}); err != nil {
			return err
		}
		time.Sleep(pieceDelay)
	}
	return nil
}
