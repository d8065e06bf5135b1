package blvalue

import "github.com/cespare/xxhash/v2"

// Key identifies the object to which a request applies, such as one party's
// pot. Requests of a partitioned service are assigned to owners by key.
type Key string

// Partition is the zero-based index of a partition of a service's key space.
type Partition uint16

// shardSpace is the number of shards in the key space of a range-partitioned
// service.
const shardSpace = 1 << 16

// PartitionOfShard returns the partition that contains shard when the key space
// is divided into count ranges of equal width.
func PartitionOfShard(shard uint16, count int) Partition {
	return Partition(int(shard) * count / shardSpace)
}

// ShardsOf returns the first and last shard of partition p out of count
// partitions. The count must divide shardSpace.
func ShardsOf(p Partition, count int) (first, last uint16) {
	width := shardSpace / max(count, 1)
	return uint16(int(p) * width), uint16((int(p)+1)*width - 1)
}

// AllShards returns the first and the last shard of all partitions.
func AllShards() (first, last uint16) {
	return 0, shardSpace - 1
}

// PartitionOf returns the partition, out of count hash partitions, to which key
// belongs. It returns zero when count is not positive.
func PartitionOf(key Key, count int) Partition {
	if count <= 0 {
		return 0
	}
	return Partition(xxhash.Sum64String(string(key)) % uint64(count))
}
