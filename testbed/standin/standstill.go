package standin

import (
	"net"
	"sync"
)

// standstill holds back what the process of a worker reads and writes while it stands still. Its machine goes on
// accepting connections and acknowledging data.
type standstill struct {
	mu sync.Mutex
	// ended is closed when the process runs again, nil while it runs.
	ended chan struct{}
}

func (s *standstill) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		s.ended = make(chan struct{})
	}
}

func (s *standstill) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		close(s.ended)
		s.ended = nil
	}
}

// await waits until the process runs.
func (s *standstill) await() {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// heldConn is a connection of a process that may stand still.
type heldConn struct {
	net.Conn
	process *standstill
}

// Read implements net.Conn. Data that arrives while the process stands still is returned once it runs.
func (c *heldConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.process.await()
	return n, err
}

// Write implements net.Conn.
func (c *heldConn) Write(data []byte) (int, error) {
	c.process.await()
	return c.Conn.Write(data)
}

// StandStill makes the worker's process read and write nothing until Resume is called. It then reads what has
// reached its machine meanwhile.
func (w *Worker) StandStill() { w.port.process.begin() }

// Resume ends StandStill.
func (w *Worker) Resume() { w.port.process.end() }
