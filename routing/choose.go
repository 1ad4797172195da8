// Package routing chooses the group or VM that gets a request. It is pure.
package routing

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a target as the choice sees it.
type Candidate struct {
	id   string
	load float64 // requests it is thought to have, as a share of what it can do
	near bool    // in the same hall
}

// NewCandidate returns a candidate. Load is the requests that the target is
// thought to have, divided by how many it can work on at once.
func NewCandidate(id string, load float64, near bool) Candidate {
	return Candidate{id: id, load: load, near: near}
}

// affinityLoad is the load up to which a request goes where its prefix is
// cached. It bounds how far affinity may unbalance targets (Mirrokni, Thorup
// and Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018).
const affinityLoad = 0.9

// homes is how many targets share the requests with one prefix.
const homes = 2

// Choose returns the index of the target for a request, -1 if there is none.
// Prefix is a hash of what requests of the same kind begin with, 0 if unknown.
func Choose(candidates []Candidate, prefix uint64, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	if prefix != 0 {
		if home := lessLoaded(candidates, homesOf(candidates, prefix)); candidates[home].load < affinityLoad {
			return home
		}
	}
	return lessLoaded(candidates, twoOf(len(candidates), random))
}

// Random returns any of n targets, as the baseline that policies are measured
// against.
func Random(n int, random *rand.Rand) int {
	if n == 0 {
		return -1
	}
	return random.IntN(n)
}

// twoOf picks two of n at random (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", 2001).
func twoOf(n int, random *rand.Rand) [homes]int {
	a := random.IntN(n)
	if n == 1 {
		return [homes]int{a, a}
	}
	b := random.IntN(n - 1)
	if b >= a {
		b++
	}
	return [homes]int{a, b}
}

// homesOf returns the two targets that rank highest for a prefix.
func homesOf(candidates []Candidate, prefix uint64) [homes]int {
	first, second := 0, 0
	var firstWeight, secondWeight uint64
	for i, c := range candidates {
		weight := mix(prefix ^ xxhash.Sum64String(c.id))
		switch {
		case weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = i, weight
		case weight > secondWeight:
			second, secondWeight = i, weight
		}
	}
	return [homes]int{first, second}
}

// mix spreads the bits of x (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func lessLoaded(candidates []Candidate, two [homes]int) int {
	a, b := candidates[two[0]], candidates[two[1]]
	if b.load < a.load || (b.load == a.load && b.near && !a.near) {
		return two[1]
	}
	return two[0]
}
