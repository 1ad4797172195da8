package replica

import (
	"cmp"
	"slices"
)

// Node is a process as it announces itself.
type Node struct {
	Name string `json:"-"`
	// Addr is where it serves other processes, "" if it doesn't.
	Addr string `json:"addr,omitempty"`
	Hall string `json:"hall,omitempty"`
	// Cores is the share of a core that it may use.
	Cores float64 `json:"cores,omitempty"`
}

// Control is what the table LeaseTable says of nodes and the lease.
type Control struct {
	// Nodes are those that announced themselves.
	Nodes []Node
	// Holder is the last holder of the lease, "" before the first, and Term its term.
	Holder string
	Term   uint64
}

// Rank returns how many nodes come before one: those with more processor time,
// then those first by name.
func (c Control) Rank(self Node) int {
	rank := 0
	for _, n := range c.Nodes {
		if n.Cores > self.Cores || n.Cores == self.Cores && n.Name < self.Name {
			rank++
		}
	}
	return rank
}

// Deciders returns the nodes that what one node sees is told to: the holder of the lease,
// and the first that would take it. Where the holder is gone, nobody has to wait until the
// lease lapses.
func (c Control) Deciders() []Node {
	var deciders []Node
	var next *Node
	for i, n := range c.Nodes {
		switch {
		case n.Addr == "":
		case n.Name == c.Holder:
			deciders = append(deciders, n)
		case next == nil || n.Cores > next.Cores:
			next = &c.Nodes[i]
		}
	}
	if next != nil {
		deciders = append(deciders, *next)
	}
	return deciders
}

// Node returns a node by its name.
func (c Control) Node(name string) (Node, bool) {
	i, found := slices.BinarySearchFunc(c.Nodes, name, func(n Node, name string) int { return cmp.Compare(n.Name, name) })
	if !found {
		return Node{}, false
	}
	return c.Nodes[i], true
}
