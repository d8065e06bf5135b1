package blfleet

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// InvariantError reports something that a fleet must never do.
type InvariantError struct {
	Description string
}

// Error returns what was seen.
func (e InvariantError) Error() string {
	return e.Description
}

// CheckOwnership holds the logs of accepted work of the exclusive upstreams, with
// fences that were checked, against single ownership and against what callers
// were told.
func (f *Fleet) CheckOwnership(told map[string]KeyOutcomes) []error {
	log, err := f.exclusiveWork()
	if err != nil {
		return []error{err}
	}
	return append(checkFenceOrder(log), checkRunCounts(log, told)...)
}

// exclusiveWork returns the work of all exclusive upstreams by time.
func (f *Fleet) exclusiveWork() ([]WorkEntry, error) {
	var log []WorkEntry
	for _, host := range f.Hosts {
		for _, upstream := range host.Upstreams {
			if !upstream.Spec.Exclusive {
				continue
			}
			part, err := f.WorkLog(upstream)
			if err != nil {
				return nil, fmt.Errorf("log of %s: %w", upstream.Spec.Name, err)
			}
			log = append(log, part...)
		}
	}
	sort.Slice(log, func(i, j int) bool { return log[i].AtNS < log[j].AtNS })
	return log, nil
}

// checkFenceOrder looks for a key that went back to an owner under an
// older fence: two owners whose work interleaves do that.
func checkFenceOrder(log []WorkEntry) []error {
	var broken []error
	last := map[string]WorkEntry{}
	for _, work := range log {
		before, ok := last[work.Key]
		if ok && before.Upstream != work.Upstream && !olderFence(before.Fence, work.Fence) {
			broken = append(broken, InvariantError{Description: fmt.Sprintf(
				"key %s: got work at %s under %s after work at %s under %s, want a higher fence",
				work.Key, work.Upstream, work.Fence, before.Upstream, before.Fence)})
		}
		last[work.Key] = work
	}
	return broken
}

// checkRunCounts compares the runs of each key with what callers were told: no
// request ran twice, every answer stands for a run, and every run for an answer
// or an unknown outcome.
func checkRunCounts(log []WorkEntry, told map[string]KeyOutcomes) []error {
	var broken []error
	runs, requests := map[string]int{}, map[string]int{}
	for _, work := range log {
		runs[work.Key]++
		requests[work.Request]++
	}
	for request, count := range requests {
		if count > 1 {
			broken = append(broken, InvariantError{Description: fmt.Sprintf("request %s: got %d runs, want at most 1", request, count)})
		}
	}
	for key, t := range told {
		if got := runs[key]; got < t.Answered || got > t.Answered+t.Unknown {
			broken = append(broken, InvariantError{Description: fmt.Sprintf(
				"key %s: got %d runs, want %d to %d", key, got, t.Answered, t.Answered+t.Unknown)})
		}
	}
	return broken
}

// olderFence reports whether the first fence was given before the second. A
// fence is written as term.sequence.
func olderFence(first, second string) bool {
	a, b := parseFence(first), parseFence(second)
	return a[0] < b[0] || a[0] == b[0] && a[1] < b[1]
}

func parseFence(fence string) [2]uint64 {
	term, sequence, _ := strings.Cut(fence, ".")
	var parsed [2]uint64
	parsed[0], _ = strconv.ParseUint(term, 10, 64)
	parsed[1], _ = strconv.ParseUint(sequence, 10, 64)
	return parsed
}
