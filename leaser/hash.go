package leaser

import (
	"github.com/cespare/xxhash/v2"

	"kumquatstall/requester"
)

// Rendezvous hashing assigns a key to the number or name that has the highest score
// together with it. Every entry computes the same, and a number or name that is added or
// removed moves only the keys that it gets or had.

// ShardOf returns the call shard to which a name is assigned by rendezvous
// hashing, in a data centre with the given number of shards.
func ShardOf(dataCentre requester.DataCentre, shards int, name string) Shard {
	best, bestScore := 1, uint64(0)
	nameHash := xxhash.Sum64String(name)
	for number := 1; number < shards; number++ {
		score := mix(nameHash, uint64(number))
		if score > bestScore {
			best, bestScore = number, score
		}
	}
	return Shard{DataCentre: dataCentre, Number: best}
}

// mix hashes two numbers into one that is evenly distributed.
func mix(a, b uint64) uint64 {
	x := a ^ (b+1)*0x9E3779B97F4A7C15
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}

// Choose returns the name to which a key is assigned by rendezvous hashing:
// adding or removing a name moves only the keys assigned to that name.
func Choose(names []string, key string) string {
	best, bestScore := "", uint64(0)
	keyHash := xxhash.Sum64String(key)
	for _, name := range names {
		score := mix(keyHash, xxhash.Sum64String(name))
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}
