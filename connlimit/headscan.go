package connlimit

// headScan follows the lines of a head as they come.
type headScan struct {
	bytes, lines int
	// begun is set once there was more than empty lines, which servers skip before a head.
	begun bool
	// line is the length of the line that arrives, and last its last byte.
	line int
	last byte
}

// add adds data up to the end of the head, and returns the length of that. It returns
// false if the head goes on.
func (h *headScan) add(data []byte) (int, bool) {
	for i, b := range data {
		h.bytes++
		if b != '\n' {
			h.begun = h.begun || b != '\r'
			h.line++
			h.last = b
			continue
		}
		empty := h.line == 0 || h.line == 1 && h.last == '\r'
		h.lines++
		h.line = 0
		if empty && h.begun {
			h.begun = false
			return i + 1, true
		}
	}
	return len(data), false
}

// addAll adds data in which heads may end, and keeps what follows the last one.
func (h *headScan) addAll(data []byte) {
	for {
		n, ended := h.add(data)
		if !ended {
			return
		}
		*h, data = headScan{}, data[n:]
	}
}

// cost returns the memory that the head takes.
func (h *headScan) cost() int64 { return int64(headByteCost*h.bytes + headLineCost*h.lines) }
