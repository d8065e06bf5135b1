package blvalue

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Mix hashes a number so that numbers which differ in any bit, such as consecutive
// ones, differ in all bits.
func Mix(number uint64) uint64 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], number)
	return xxhash.Sum64(bytes[:])
}
