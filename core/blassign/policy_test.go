package blassign_test

import (
	"fmt"
	"sort"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blvalue"
)

// modulo assigns partition i to candidate i modulo the number of candidates.
// Nearly every partition moves when a candidate joins or leaves.
type modulo struct{}

func (modulo) Place(current []blvalue.UpstreamName, candidates []blassign.Candidate) []blvalue.UpstreamName {
	owners := make([]blvalue.UpstreamName, len(current))
	for i := range owners {
		owners[i] = candidates[i%len(candidates)].Name
	}
	return owners
}

// rendezvous assigns each partition to the candidate with the highest hash. Few
// partitions move, but the sizes of the shares vary at random.
type rendezvous struct{}

func (rendezvous) Place(current []blvalue.UpstreamName, candidates []blassign.Candidate) []blvalue.UpstreamName {
	owners := make([]blvalue.UpstreamName, len(current))
	for i := range owners {
		owners[i] = ranked(i, candidates)[0].Name
	}
	return owners
}

func score(name blvalue.UpstreamName, partition int) uint64 {
	return xxhash.Sum64String(string(name) + "/" + strconv.Itoa(partition))
}

// ranked returns the candidates in descending order of their hash for the
// partition.
func ranked(partition int, candidates []blassign.Candidate) []blassign.Candidate {
	type scored struct {
		candidate blassign.Candidate
		score     uint64
	}
	list := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		list = append(list, scored{c, score(c.Name, partition)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].candidate.Name < list[j].candidate.Name
	})
	order := make([]blassign.Candidate, 0, len(list))
	for _, s := range list {
		order = append(order, s.candidate)
	}
	return order
}

// boundedRendezvous assigns each partition to the candidate with the highest
// hash that is below its share, so that no candidate exceeds its share by more
// than one partition.
type boundedRendezvous struct{}

func (boundedRendezvous) Place(current []blvalue.UpstreamName, candidates []blassign.Candidate) []blvalue.UpstreamName {
	owners := make([]blvalue.UpstreamName, len(current))
	limits := shareLimits(len(current), candidates)
	for i := range owners {
		for _, c := range ranked(i, candidates) {
			if limits[c.Name] == 0 {
				continue
			}
			limits[c.Name]--
			owners[i] = c.Name
			break
		}
	}
	return owners
}

// shareLimits returns the maximum number of partitions for each candidate: its
// share of the total weight, rounded up.
func shareLimits(partitions int, candidates []blassign.Candidate) map[blvalue.UpstreamName]int {
	total := 0
	for _, c := range candidates {
		total += max(c.Weight, 1)
	}
	limits := make(map[blvalue.UpstreamName]int, len(candidates))
	for _, c := range candidates {
		limits[c.Name] = (partitions*max(c.Weight, 1) + total - 1) / total
	}
	return limits
}

func candidates(count int) []blassign.Candidate {
	candidates := make([]blassign.Candidate, 0, count)
	for i := range count {
		candidates = append(candidates, blassign.Candidate{Name: blvalue.UpstreamName(fmt.Sprintf("pot_%02d", i)), Weight: 6})
	}
	return candidates
}

func policies() map[string]blassign.Policy {
	return map[string]blassign.Policy{
		"modulo": modulo{}, "rendezvous": rendezvous{},
		"bounded rendezvous": boundedRendezvous{}, "least moves": blassign.LeastMoves{},
	}
}

func moved(before, after []blvalue.UpstreamName) int {
	count := 0
	for i := range before {
		if before[i] != after[i] {
			count++
		}
	}
	return count
}

func imbalance(owners []blvalue.UpstreamName, candidates []blassign.Candidate) float64 {
	counts := map[blvalue.UpstreamName]int{}
	most := 0
	for _, owner := range owners {
		counts[owner]++
		most = max(most, counts[owner])
	}
	return float64(most) * float64(len(candidates)) / float64(len(owners))
}

// TestPoliciesPlaceEveryPartition checks that every policy assigns all
// partitions and moves none when nothing changed, and that the policy in use
// moves no more partitions than even shares require.
func TestPoliciesPlaceEveryPartition(t *testing.T) {
	const partitions = 128
	for name, policy := range policies() {
		t.Run(name, func(t *testing.T) {
			seven, eight, six := candidates(7), candidates(8), candidates(6)
			first := policy.Place(make([]blvalue.UpstreamName, partitions), seven)
			for i, owner := range first {
				if owner == "" {
					t.Fatalf("owner of %d: got none, want one", i)
				}
			}
			if again := policy.Place(first, seven); moved(first, again) != 0 {
				t.Errorf("moves when nothing changed: got %d, want 0", moved(first, again))
			}
			join, leave := policy.Place(first, eight), policy.Place(first, six)
			t.Logf("imbalance %.3f, moved by a join %d of %d (least %d), by a leave %d (least %d)",
				imbalance(first, seven), moved(first, join), partitions, partitions/8, moved(first, leave), partitions/7)
			if name == "least moves" && moved(first, join) > partitions/8 {
				t.Errorf("moves by a join: got %d, want at most %d", moved(first, join), partitions/8)
			}
			if name == "least moves" && moved(first, leave) > partitions/7+1 {
				t.Errorf("moves by a leave: got %d, want at most %d", moved(first, leave), partitions/7+1)
			}
		})
	}
}
