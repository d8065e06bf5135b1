package blvalue

import "github.com/cespare/xxhash/v2"

// Key is what a request is about, such as one party's pot.
type Key string

// Partition is a part of a service's keys, counted from zero.
type Partition uint16

// PartitionOf returns the partition of key among count partitions. A count of
// zero gives partition zero.
func PartitionOf(key Key, count int) Partition {
	if count <= 0 {
		return 0
	}
	return Partition(xxhash.Sum64String(string(key)) % uint64(count))
}
