// Package routing chooses the group or VM for a request. Its functions have no side effects.
package routing

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a target that a request may be routed to.
type Candidate struct {
	id   string
	load float64 // estimated number of requests, relative to its capacity
	near bool    // in the same hall
}

// NewCandidate returns a candidate. Load is the estimated number of requests at the target,
// divided by the number that it can process at once.
func NewCandidate(id string, load float64, near bool) Candidate {
	return Candidate{id: id, load: load, near: near}
}

// affinityLoad is the load up to which a target gets the requests whose prefix it has cached.
// It bounds the imbalance that affinity may cause (Mirrokni, Thorup and Zadimoghaddam,
// "Consistent Hashing with Bounded Loads", SODA 2018).
const affinityLoad = 0.9

// pairSize is the number of targets that Choose compares: two random ones, or the two that
// share the requests with one prefix.
const pairSize = 2

// Choose returns the index of the target for a request, -1 if there is none. Prefix is a hash
// of the prompt prefix that requests of the same kind share, 0 if unknown.
func Choose(candidates []Candidate, prefix uint64, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	if prefix != 0 {
		if preferred := lessLoaded(candidates, preferredTargets(candidates, prefix)); candidates[preferred].load < affinityLoad {
			return preferred
		}
	}
	return lessLoaded(candidates, randomPair(len(candidates), random))
}

// Random returns a random one of n targets, as the baseline for measuring policies.
func Random(n int, random *rand.Rand) int {
	if n == 0 {
		return -1
	}
	return random.IntN(n)
}

// randomPair picks two of n at random (Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001).
func randomPair(n int, random *rand.Rand) [pairSize]int {
	a := random.IntN(n)
	if n == 1 {
		return [pairSize]int{a, a}
	}
	b := random.IntN(n - 1)
	if b >= a {
		b++
	}
	return [pairSize]int{a, b}
}

// preferredTargets returns the two targets that rank highest for a prefix by rendezvous
// hashing.
func preferredTargets(candidates []Candidate, prefix uint64) [pairSize]int {
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
	return [pairSize]int{first, second}
}

// mix mixes the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func lessLoaded(candidates []Candidate, pair [pairSize]int) int {
	a, b := candidates[pair[0]], candidates[pair[1]]
	if b.load < a.load || (b.load == a.load && b.near && !a.near) {
		return pair[1]
	}
	return pair[0]
}
