package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Member is a daemon as announced in its entry.
type Member struct {
	Name string
	// Addr is the address at which the daemon serves other daemons.
	Addr string
	Hall string
	// Cores is the number of processor cores that the daemon may use.
	Cores float64
}

// Bounds of relaying. A large hall has a second relay, so that the other daemons don't all
// move to another hall when the first relay fails; a small hall has one. Relaying saves a
// hall of three daemons a third of its calls to the store. The other daemons also receive
// changes sooner than by polling the store, which debounces changes.
const (
	maxMembersForOneRelay = 6
	relaysPerHall         = 2
)

// Fleet determines which daemons relay and from which relays each daemon reads.
type Fleet struct {
	Members []Member
	// Region returns the region of a data hall, "" if unknown.
	Region func(hall string) string
	// Holder is the name of the lease holder, "" if unknown.
	Holder string
}

// Upstreams returns the relays that a daemon reads from instead of the store, best first.
// None means that it reads from the store: it is alone in its hall, or it relays for all
// others. When the relays of its own hall fail, it reads from the first relay of each other
// hall. That costs traffic between halls, but keeps a whole hall from reading from the
// store.
func (f Fleet) Upstreams(self Member) []Member {
	relays := relaysIn(self.Hall, f.Members)
	root, hasRoot := f.rootOf(self)
	if len(relays) == 0 || hasRoot && root.Name == self.Name {
		return nil
	}
	i := indexOf(relays, self.Name)
	if i < 0 {
		return append(relays, remoteRelays(self, f.Members)...)
	}
	earlier := slices.Clone(relays[:i])
	if !hasRoot {
		return earlier
	}
	return append([]Member{root}, slices.DeleteFunc(earlier, func(m Member) bool { return m.Name == root.Name })...)
}

// rootOf returns the daemon that reads from the store for all relays of a daemon's region,
// so that one daemon a region reads from the store rather than one a hall: with five halls
// 5 times a second instead of 16. It is the lease holder, whose next order depends on
// reports of workers, or else the first relay. A region of one hall has no root.
func (f Fleet) rootOf(self Member) (root Member, hasRoot bool) {
	region := f.Region(self.Hall)
	relayHalls := 0
	for hall := range hallsOf(f.Members) {
		if f.Region(hall) != region {
			continue
		}
		relays := relaysIn(hall, f.Members)
		if len(relays) == 0 {
			continue
		}
		if relayHalls == 0 || hasPriority(relays[0], root) {
			root = relays[0]
		}
		relayHalls++
	}
	if i := indexOf(f.Members, f.Holder); i >= 0 && f.Members[i].Addr != "" && f.Region(f.Members[i].Hall) == region {
		root = f.Members[i]
	}
	return root, relayHalls > 1
}

// IsRoot reports whether a daemon reads from the store for the relays of other halls too.
func (f Fleet) IsRoot(self Member) bool {
	root, hasRoot := f.rootOf(self)
	return hasRoot && root.Name == self.Name
}

func hallsOf(all []Member) map[string]bool {
	halls := map[string]bool{}
	for _, m := range all {
		halls[m.Hall] = true
	}
	return halls
}

// remoteRelays returns the first relay of each other hall. The order differs between
// daemons, which distributes a hall's calls over these relays.
func remoteRelays(self Member, all []Member) []Member {
	var firstRelays []Member
	seen := map[string]bool{self.Hall: true}
	for _, m := range all {
		if seen[m.Hall] {
			continue
		}
		seen[m.Hall] = true
		if relays := relaysIn(m.Hall, all); len(relays) > 0 {
			firstRelays = append(firstRelays, relays[0])
		}
	}
	slices.SortFunc(firstRelays, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hash(self.Name+a.Name), hash(self.Name+b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return firstRelays
}

// IsRelay reports whether other daemons read from a daemon instead of the store.
func IsRelay(self Member, all []Member) bool {
	return indexOf(relaysIn(self.Hall, all), self.Name) >= 0
}

// relaysIn returns the relays of a hall. Daemons with the most processor time are
// preferred, then a hash of the name decides, so that all daemons compute the same relays.
func relaysIn(hall string, all []Member) []Member {
	var candidates []Member
	for _, m := range all {
		if m.Hall == hall && m.Addr != "" {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) < 2 {
		return nil
	}
	slices.SortFunc(candidates, comparePriority)
	if len(candidates) <= maxMembersForOneRelay {
		return candidates[:1]
	}
	return candidates[:relaysPerHall]
}

// comparePriority orders members by their priority as relays.
func comparePriority(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
}

func hasPriority(a, b Member) bool { return comparePriority(a, b) < 0 }

func indexOf(list []Member, name string) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.Name == name })
}

func hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
