// Package bltable provides an immutable sorted map with structural sharing.
// Iteration is in key order, so that decisions which iterate are deterministic.
package bltable

import (
	"cmp"
	"iter"
	"slices"
	"sort"
)

// chunkSize is the maximum number of entries in a chunk. An update copies the
// list of chunks and one chunk.
const chunkSize = 32

type entry[K cmp.Ordered, V any] struct {
	key   K
	value V
}

// Table is an immutable sorted map. The zero value is an empty table that is
// ready to use.
type Table[K cmp.Ordered, V any] struct {
	// chunks holds non-empty chunks. Keys are strictly increasing within each
	// chunk and across consecutive chunks.
	chunks [][]entry[K, V]
	length int
}

// chunkOf returns the index of the chunk that contains key or into which key
// would be inserted.
func (t Table[K, V]) chunkOf(key K) int {
	after := sort.Search(len(t.chunks), func(i int) bool { return t.chunks[i][0].key > key })
	return max(after-1, 0)
}

// position returns the offset of key in chunk and reports whether key is
// present. For a missing key it is the offset at which to insert it.
func position[K cmp.Ordered, V any](chunk []entry[K, V], key K) (int, bool) {
	return slices.BinarySearchFunc(chunk, key, func(e entry[K, V], k K) int { return cmp.Compare(e.key, k) })
}

// Get returns the value stored for key and reports whether key is present.
func (t Table[K, V]) Get(key K) (V, bool) {
	var zero V
	if t.length == 0 {
		return zero, false
	}
	chunk := t.chunks[t.chunkOf(key)]
	offset, found := position(chunk, key)
	if !found {
		return zero, false
	}
	return chunk[offset].value, true
}

// Len returns the number of entries.
func (t Table[K, V]) Len() int {
	return t.length
}

// All iterates over the entries in key order.
func (t Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, chunk := range t.chunks {
			for _, e := range chunk {
				if !yield(e.key, e.value) {
					return
				}
			}
		}
	}
}

// With returns a copy of the table in which key maps to value.
func (t Table[K, V]) With(key K, value V) Table[K, V] {
	added := entry[K, V]{key: key, value: value}
	if t.length == 0 {
		return Table[K, V]{chunks: [][]entry[K, V]{{added}}, length: 1}
	}
	index := t.chunkOf(key)
	offset, found := position(t.chunks[index], key)
	if found {
		chunk := slices.Clone(t.chunks[index])
		chunk[offset] = added
		return t.withChunks(index, t.length, chunk)
	}
	chunk := make([]entry[K, V], 0, len(t.chunks[index])+1)
	chunk = append(chunk, t.chunks[index][:offset]...)
	chunk = append(chunk, added)
	chunk = append(chunk, t.chunks[index][offset:]...)
	if len(chunk) <= chunkSize {
		return t.withChunks(index, t.length+1, chunk)
	}
	half := len(chunk) / 2
	return t.withChunks(index, t.length+1, chunk[:half:half], chunk[half:])
}

// Without returns a copy of the table that has no entry for key.
func (t Table[K, V]) Without(key K) Table[K, V] {
	if t.length == 0 {
		return t
	}
	index := t.chunkOf(key)
	offset, found := position(t.chunks[index], key)
	if !found {
		return t
	}
	if len(t.chunks[index]) == 1 {
		return t.withChunks(index, t.length-1)
	}
	return t.withChunks(index, t.length-1, slices.Delete(slices.Clone(t.chunks[index]), offset, offset+1))
}

// withChunks returns a copy of the table with the given length, in which the
// chunk at index is replaced by the replacement chunks.
func (t Table[K, V]) withChunks(index, length int, replacement ...[]entry[K, V]) Table[K, V] {
	chunks := make([][]entry[K, V], 0, len(t.chunks)+1)
	chunks = append(chunks, t.chunks[:index]...)
	chunks = append(chunks, replacement...)
	chunks = append(chunks, t.chunks[index+1:]...)
	return Table[K, V]{chunks: chunks, length: length}
}
