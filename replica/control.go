package replica

import (
	"cmp"
	"slices"
)

// Node is a process in LeaseTable, as it announced itself.
type Node struct {
	Name string `json:"-"`
	// Addr is the address at which the node serves other processes, "" if it doesn't.
	Addr string `json:"addr,omitempty"`
	Hall string `json:"hall,omitempty"`
	// Cores is the processor time that the node may use, in cores.
	Cores float64 `json:"cores,omitempty"`
}

// Control holds the nodes and the holder of the lease according to LeaseTable.
type Control struct {
	// Nodes are the nodes that announced themselves, sorted by name.
	Nodes []Node
	// Holder is the last holder of the lease, "" before the first, and Term is its term.
	Holder string
	Term   uint64
}

// Rank returns how many nodes come before a node: those with more processor time, and among
// equals those with a lower name.
func (c Control) Rank(self Node) int {
	rank := 0
	for _, n := range c.Nodes {
		if n.Cores > self.Cores || n.Cores == self.Cores && n.Name < self.Name {
			rank++
		}
	}
	return rank
}

// ReportTargets returns the nodes that receive the observations of a node: the holder of the
// lease, and the node that would take the lease next. If the holder is gone, the report needn't
// wait until the lease lapses.
func (c Control) ReportTargets() []Node {
	var targets []Node
	var next *Node
	for i, n := range c.Nodes {
		switch {
		case n.Addr == "":
		case n.Name == c.Holder:
			targets = append(targets, n)
		case next == nil || n.Cores > next.Cores:
			next = &c.Nodes[i]
		}
	}
	if next != nil {
		targets = append(targets, *next)
	}
	return targets
}

// Node returns the node of that name.
func (c Control) Node(name string) (Node, bool) {
	i, found := slices.BinarySearchFunc(c.Nodes, name, func(n Node, name string) int { return cmp.Compare(n.Name, name) })
	if !found {
		return Node{}, false
	}
	return c.Nodes[i], true
}
