package blassign

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bergamotlead/core/blvalue"
)

// Candidate is an upstream that is eligible to own partitions.
type Candidate struct {
	Name blvalue.UpstreamName
	// Weight is the upstream's share relative to others, such as its slots.
	Weight int
}

// Policy assigns owners to partitions. Place returns one owner for each
// partition, given the current owners, some of which may be empty or no longer
// candidates. It must be deterministic. Candidates are sorted by name and not
// empty.
type Policy interface {
	Place(current []blvalue.UpstreamName, candidates []Candidate) []blvalue.UpstreamName
}

func totalWeight(candidates []Candidate) int {
	total := 0
	for _, c := range candidates {
		total += max(c.Weight, 1)
	}
	return total
}

func score(name blvalue.UpstreamName, partition int) uint64 {
	return xxhash.Sum64String(string(name) + "/" + strconv.Itoa(partition))
}

// LeastMoves keeps each partition with its owner unless the owner is gone or
// above its share, and assigns the rest to the candidates that are furthest
// below theirs. It moves the minimum number of partitions that even shares
// allow.
type LeastMoves struct{}

// Place implements Policy.
func (LeastMoves) Place(current []blvalue.UpstreamName, candidates []Candidate) []blvalue.UpstreamName {
	owners := make([]blvalue.UpstreamName, len(current))
	free := exactShares(current, candidates)
	var unplaced []int
	for i, owner := range current {
		if free[owner] == 0 {
			unplaced = append(unplaced, i)
			continue
		}
		free[owner]--
		owners[i] = owner
	}
	for _, i := range unplaced {
		owner := mostAvailable(i, candidates, free)
		free[owner]--
		owners[i] = owner
	}
	return owners
}

// exactShares returns how many partitions each candidate gets. The shares add
// up to all partitions; the remainder from rounding goes to the candidates that
// hold the most beyond their share, so that it causes no moves.
func exactShares(current []blvalue.UpstreamName, candidates []Candidate) map[blvalue.UpstreamName]int {
	total := totalWeight(candidates)
	shares := make(map[blvalue.UpstreamName]int, len(candidates))
	held := map[blvalue.UpstreamName]int{}
	for _, owner := range current {
		held[owner]++
	}
	left := len(current)
	for _, c := range candidates {
		shares[c.Name] = len(current) * max(c.Weight, 1) / total
		left -= shares[c.Name]
	}
	order := append([]Candidate(nil), candidates...)
	sort.SliceStable(order, func(i, j int) bool {
		return held[order[i].Name]-shares[order[i].Name] > held[order[j].Name]-shares[order[j].Name]
	})
	for i := range left {
		shares[order[i%len(order)].Name]++
	}
	return shares
}

// mostAvailable returns the candidate with the most free capacity; hashes break
// ties.
func mostAvailable(partition int, candidates []Candidate, free map[blvalue.UpstreamName]int) blvalue.UpstreamName {
	best := candidates[0].Name
	for _, c := range candidates[1:] {
		more := free[c.Name] > free[best]
		equal := free[c.Name] == free[best]
		if more || equal && score(c.Name, partition) > score(best, partition) {
			best = c.Name
		}
	}
	return best
}
