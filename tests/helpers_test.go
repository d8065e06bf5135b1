package bltests_test

import (
	"strconv"
	"strings"
)

// parseFence reads a fence written as term.sequence.
func parseFence(fence string) [2]uint64 {
	term, sequence, _ := strings.Cut(fence, ".")
	var parsed [2]uint64
	parsed[0], _ = strconv.ParseUint(term, 10, 64)
	parsed[1], _ = strconv.ParseUint(sequence, 10, 64)
	return parsed
}
