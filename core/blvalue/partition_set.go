package blvalue

import (
	"iter"
	"math/bits"
)

// wordBits is the number of partitions in one word of the bitmap.
const wordBits = 64

// PartitionSet is an immutable set of partitions, stored as a bitmap. The zero
// value is the empty set.
type PartitionSet struct {
	words []uint64
}

// NewPartitionSet returns the set of the given partitions.
func NewPartitionSet(partitions ...Partition) PartitionSet {
	var set PartitionSet
	for _, p := range partitions {
		set.insert(p)
	}
	return set
}

// PartitionSetOfWords returns the set with the given bitmap, lowest partition
// first. The set keeps a reference to words, so the caller must not modify them
// afterwards.
func PartitionSetOfWords(words []uint64) PartitionSet {
	return PartitionSet{words: words}
}

// Words returns the bitmap, lowest partition first. The caller must not modify
// it.
func (s PartitionSet) Words() []uint64 {
	return s.words
}

func (s *PartitionSet) insert(p Partition) {
	index := int(p) / wordBits
	for len(s.words) <= index {
		s.words = append(s.words, 0)
	}
	s.words[index] |= 1 << (p % wordBits)
}

func (s PartitionSet) clone() PartitionSet {
	return PartitionSet{words: append([]uint64(nil), s.words...)}
}

// With returns a copy of the set with p added.
func (s PartitionSet) With(p Partition) PartitionSet {
	next := s.clone()
	next.insert(p)
	return next
}

// Without returns the difference of s and other.
func (s PartitionSet) Without(other PartitionSet) PartitionSet {
	next := s.clone()
	for i := range min(len(next.words), len(other.words)) {
		next.words[i] &^= other.words[i]
	}
	return next
}

// Union returns the set of partitions that are in s, in other or in both.
func (s PartitionSet) Union(other PartitionSet) PartitionSet {
	if len(s.words) < len(other.words) {
		s, other = other, s
	}
	next := s.clone()
	for i, word := range other.words {
		next.words[i] |= word
	}
	return next
}

// Intersect returns the set of partitions that are in both s and other.
func (s PartitionSet) Intersect(other PartitionSet) PartitionSet {
	return s.Without(s.Without(other))
}

// Has reports whether p is in the set.
func (s PartitionSet) Has(p Partition) bool {
	index := int(p) / wordBits
	return index < len(s.words) && s.words[index]&(1<<(p%wordBits)) != 0
}

// Includes reports whether every partition of other is in the set.
func (s PartitionSet) Includes(other PartitionSet) bool {
	for i, word := range other.words {
		if i >= len(s.words) && word != 0 || i < len(s.words) && word&^s.words[i] != 0 {
			return false
		}
	}
	return true
}

// Len returns the number of partitions in the set.
func (s PartitionSet) Len() int {
	count := 0
	for _, word := range s.words {
		count += bits.OnesCount64(word)
	}
	return count
}

// Equal reports whether both sets contain the same partitions. Trailing zero
// words of the bitmaps are insignificant.
func (s PartitionSet) Equal(other PartitionSet) bool {
	return s.Without(other).Len() == 0 && other.Without(s).Len() == 0
}

// All iterates over the partitions in ascending order.
func (s PartitionSet) All() iter.Seq[Partition] {
	return func(yield func(Partition) bool) {
		for i, word := range s.words {
			for word != 0 {
				bit := bits.TrailingZeros64(word)
				if !yield(Partition(i*wordBits + bit)) {
					return
				}
				word &= word - 1
			}
		}
	}
}
