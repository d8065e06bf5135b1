// Package bltable provides an immutable map with structural sharing.
package bltable

import (
	"hash/maphash"
	"iter"
)

// bucketCount is the number of buckets over which a table spreads its entries.
// A change copies the bucket list and one bucket.
const bucketCount = 64

var seed = maphash.MakeSeed()

type entry[K comparable, V any] struct {
	key   K
	value V
}

// Table is an immutable map. The zero value is empty and ready for use.
type Table[K comparable, V any] struct {
	buckets *[bucketCount][]entry[K, V]
	length  int
}

func bucketOf[K comparable](key K) int {
	return int(maphash.Comparable(seed, key) % bucketCount)
}

// Get returns the value of key and whether the table has one.
func (t Table[K, V]) Get(key K) (V, bool) {
	var zero V
	if t.buckets == nil {
		return zero, false
	}
	for _, e := range t.buckets[bucketOf(key)] {
		if e.key == key {
			return e.value, true
		}
	}
	return zero, false
}

// Len returns the number of entries.
func (t Table[K, V]) Len() int {
	return t.length
}

// All iterates over the entries in no particular order.
func (t Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if t.buckets == nil {
			return
		}
		for _, bucket := range t.buckets {
			for _, e := range bucket {
				if !yield(e.key, e.value) {
					return
				}
			}
		}
	}
}

// With returns a table in which key has the given value.
func (t Table[K, V]) With(key K, value V) Table[K, V] {
	next := t.Without(key)
	index := bucketOf(key)
	old := next.buckets[index]
	bucket := make([]entry[K, V], len(old), len(old)+1)
	copy(bucket, old)
	next.buckets[index] = append(bucket, entry[K, V]{key: key, value: value})
	next.length++
	return next
}

// Without returns a table that has no entry for key.
func (t Table[K, V]) Without(key K) Table[K, V] {
	next := Table[K, V]{buckets: new([bucketCount][]entry[K, V]), length: t.length}
	if t.buckets == nil {
		return next
	}
	*next.buckets = *t.buckets
	index := bucketOf(key)
	for i, e := range t.buckets[index] {
		if e.key != key {
			continue
		}
		rest := make([]entry[K, V], 0, len(t.buckets[index]))
		rest = append(rest, t.buckets[index][:i]...)
		next.buckets[index] = append(rest, t.buckets[index][i+1:]...)
		next.length--
		break
	}
	return next
}
