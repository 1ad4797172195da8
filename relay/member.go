package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Member is a daemon as it announced itself.
type Member struct {
	Name string
	// Addr is where the daemon serves other daemons.
	Addr string
	Hall string
	// Cores is the share of a core that the daemon may use.
	Cores float64
}

// Bounds of relaying. A hall has a second daemon that relays, so that the others don't
// all turn elsewhere when the first is gone; where a hall has few daemons, one does.
// Relaying saves a hall of three a third of its calls to the store, and the others hear
// of changes sooner than by their own questions, which let changes gather: together
// 0.008 of what all answers are worth, over 35 paired days of trouble.
const (
	fewMembers    = 6
	relaysPerHall = 2
)

// Fleet is what places a daemon between the store and the others.
type Fleet struct {
	Members []Member
	// Region returns the region of a data hall, "" if it isn't known.
	Region func(hall string) string
	// Holder is the name of the daemon that holds the lease, "" if none is known.
	Holder string
}

// Upstreams returns the daemons that one asks in place of the store, best first.
// None means that it asks the store itself: because it is alone in its hall, or
// because it relays for all others. Where the relays of its hall can't be relied on it
// asks the first of each other hall, which costs bytes between halls, but doesn't have
// a whole hall ask the store.
func (f Fleet) Upstreams(self Member) []Member {
	relays := relaysIn(self.Hall, f.Members)
	root, rooted := f.rootOf(self)
	if len(relays) == 0 || rooted && root.Name == self.Name {
		return nil
	}
	i := indexOf(relays, self.Name)
	if i < 0 {
		return append(relays, firstElsewhere(self, f.Members)...)
	}
	earlier := slices.Clone(relays[:i])
	if !rooted {
		return earlier
	}
	return append([]Member{root}, slices.DeleteFunc(earlier, func(m Member) bool { return m.Name == root.Name })...)
}

// rootOf returns the daemon that asks the store for all that relay in a daemon's region, so
// that the store is asked by one a region and not by one a hall: with five halls 5 times a
// second in place of 16. It is the holder of the lease, whose next order waits for what
// workers say, and else the first of those that relay. There is none in a region of one hall.
func (f Fleet) rootOf(self Member) (root Member, rooted bool) {
	region := f.Region(self.Hall)
	firsts := 0
	for hall := range hallsOf(f.Members) {
		if f.Region(hall) != region {
			continue
		}
		relays := relaysIn(hall, f.Members)
		if len(relays) == 0 {
			continue
		}
		if firsts == 0 || before(relays[0], root) {
			root = relays[0]
		}
		firsts++
	}
	if i := indexOf(f.Members, f.Holder); i >= 0 && f.Members[i].Addr != "" && f.Region(f.Members[i].Hall) == region {
		root = f.Members[i]
	}
	return root, firsts > 1
}

// IsRoot tells whether a daemon asks the store for the relays of other halls too.
func (f Fleet) IsRoot(self Member) bool {
	root, rooted := f.rootOf(self)
	return rooted && root.Name == self.Name
}

func hallsOf(all []Member) map[string]bool {
	halls := map[string]bool{}
	for _, m := range all {
		halls[m.Hall] = true
	}
	return halls
}

// firstElsewhere returns the first relay of each other hall, in an order that differs
// from daemon to daemon, so that no one of them gets all of a hall's questions.
func firstElsewhere(self Member, all []Member) []Member {
	var firsts []Member
	seen := map[string]bool{self.Hall: true}
	for _, m := range all {
		if seen[m.Hall] {
			continue
		}
		seen[m.Hall] = true
		if relays := relaysIn(m.Hall, all); len(relays) > 0 {
			firsts = append(firsts, relays[0])
		}
	}
	slices.SortFunc(firsts, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hash(self.Name+a.Name), hash(self.Name+b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return firsts
}

// Relays tells whether others ask a daemon in place of the store.
func Relays(self Member, all []Member) bool {
	return indexOf(relaysIn(self.Hall, all), self.Name) >= 0
}

// relaysIn returns the daemons that relay in a hall. Those with the most processor
// time do, and among these a hash decides, so that all daemons choose alike.
func relaysIn(hall string, all []Member) []Member {
	var here []Member
	for _, m := range all {
		if m.Hall == hall && m.Addr != "" {
			here = append(here, m)
		}
	}
	if len(here) < 2 {
		return nil
	}
	slices.SortFunc(here, compare)
	if len(here) <= fewMembers {
		return here[:1]
	}
	return here[:relaysPerHall]
}

// compare puts those first who are to relay.
func compare(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
}

func before(a, b Member) bool { return compare(a, b) < 0 }

func indexOf(list []Member, name string) int {
	return slices.IndexFunc(list, func(m Member) bool { return m.Name == name })
}

func hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}
