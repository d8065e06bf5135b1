package blvalue

import "github.com/cespare/xxhash/v2"

// Key is what a request is about, such as one party's pot.
type Key string

// Partition is a part of a service's keys, counted from zero.
type Partition uint16

// shardSpace is the number of places in the key space of a ranged service.
const shardSpace = 1 << 16

// PartitionOfShard returns the partition of a place among count partitions of
// equal width.
func PartitionOfShard(shard uint16, count int) Partition {
	return Partition(int(shard) * count / shardSpace)
}

// ShardsOf returns the first and the last place of a partition among count
// partitions, of which shardSpace is a multiple.
func ShardsOf(p Partition, count int) (first, last uint16) {
	width := shardSpace / max(count, 1)
	return uint16(int(p) * width), uint16((int(p)+1)*width - 1)
}

// PartitionOf returns the partition of key among count partitions. A count of
// zero gives partition zero.
func PartitionOf(key Key, count int) Partition {
	if count <= 0 {
		return 0
	}
	return Partition(xxhash.Sum64String(string(key)) % uint64(count))
}
