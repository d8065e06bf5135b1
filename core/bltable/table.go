// Package bltable provides an immutable map with structural sharing. Its
// entries are in the order of their keys, so that decisions which iterate give
// the same result every time.
package bltable

import (
	"cmp"
	"iter"
	"slices"
	"sort"
)

// chunkSize is the greatest number of entries in a chunk. A change copies the
// list of chunks and one chunk.
const chunkSize = 32

type entry[K cmp.Ordered, V any] struct {
	key   K
	value V
}

// Table is an immutable map. The zero value is empty and ready for use.
type Table[K cmp.Ordered, V any] struct {
	// chunks are not empty; their keys rise within and from one to the next.
	chunks [][]entry[K, V]
	length int
}

// chunkOf returns the index of the chunk in which key is, or would be.
func (t Table[K, V]) chunkOf(key K) int {
	after := sort.Search(len(t.chunks), func(i int) bool { return t.chunks[i][0].key > key })
	return max(after-1, 0)
}

func position[K cmp.Ordered, V any](chunk []entry[K, V], key K) (int, bool) {
	return slices.BinarySearchFunc(chunk, key, func(e entry[K, V], k K) int { return cmp.Compare(e.key, k) })
}

// Get returns the value of key and whether the table has one.
func (t Table[K, V]) Get(key K) (V, bool) {
	var zero V
	if t.length == 0 {
		return zero, false
	}
	chunk := t.chunks[t.chunkOf(key)]
	at, found := position(chunk, key)
	if !found {
		return zero, false
	}
	return chunk[at].value, true
}

// Len returns the number of entries.
func (t Table[K, V]) Len() int {
	return t.length
}

// All iterates over the entries in the order of their keys.
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

// With returns a table in which key has the given value.
func (t Table[K, V]) With(key K, value V) Table[K, V] {
	added := entry[K, V]{key: key, value: value}
	if t.length == 0 {
		return Table[K, V]{chunks: [][]entry[K, V]{{added}}, length: 1}
	}
	index := t.chunkOf(key)
	at, found := position(t.chunks[index], key)
	if found {
		chunk := slices.Clone(t.chunks[index])
		chunk[at] = added
		return t.withChunks(index, t.length, chunk)
	}
	chunk := make([]entry[K, V], 0, len(t.chunks[index])+1)
	chunk = append(chunk, t.chunks[index][:at]...)
	chunk = append(chunk, added)
	chunk = append(chunk, t.chunks[index][at:]...)
	if len(chunk) <= chunkSize {
		return t.withChunks(index, t.length+1, chunk)
	}
	half := len(chunk) / 2
	return t.withChunks(index, t.length+1, chunk[:half:half], chunk[half:])
}

// Without returns a table that has no entry for key.
func (t Table[K, V]) Without(key K) Table[K, V] {
	if t.length == 0 {
		return t
	}
	index := t.chunkOf(key)
	at, found := position(t.chunks[index], key)
	if !found {
		return t
	}
	if len(t.chunks[index]) == 1 {
		return t.withChunks(index, t.length-1)
	}
	return t.withChunks(index, t.length-1, slices.Delete(slices.Clone(t.chunks[index]), at, at+1))
}

// withChunks returns the table with the chunk at index replaced.
func (t Table[K, V]) withChunks(index, length int, replacement ...[]entry[K, V]) Table[K, V] {
	chunks := make([][]entry[K, V], 0, len(t.chunks)+1)
	chunks = append(chunks, t.chunks[:index]...)
	chunks = append(chunks, replacement...)
	chunks = append(chunks, t.chunks[index+1:]...)
	return Table[K, V]{chunks: chunks, length: length}
}
