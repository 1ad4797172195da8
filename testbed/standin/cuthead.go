package standin

import (
	"io"
	"net"

	"github.com/pointpass/pointpass/common/conns/connstest"
)

// cutHead is how a worker breaks off the heads of its answers.
type cutHead struct {
	// form is the index of the response in connstest.CutHeads.
	form int
	// pieces is set if it is written byte by byte, resets if the connection is reset then.
	pieces, resets bool
}

// SetCutHead makes the worker break off the head of each answer, in a form of connstest.CutHeads.
func (w *Worker) SetCutHead(form int, pieces, resets bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoil = BreaksHead
	w.cutHead = cutHead{form, pieces, resets}
}

// breakHead writes the head of an answer that breaks off. own are the fields that every answer has.
func (w *Worker) breakHead(conn net.Conn, own string) {
	w.mu.Lock()
	cut := w.cutHead
	w.mu.Unlock()
	text := connstest.CutHeads(own)[cut.form].Text
	if cut.pieces {
		connstest.WriteInPieces(conn, text)
	} else {
		io.WriteString(conn, text)
	}
	if held, ok := conn.(*heldConn); ok && cut.resets {
		held.Conn.(*net.TCPConn).SetLinger(0)
	}
}
