package blfleet

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
)

// InvariantError reports a violation of one of the fleet's invariants.
type InvariantError struct {
	Description string
}

// Error implements error.
func (e InvariantError) Error() string {
	return e.Description
}

// CheckOwnership checks the work logs of the exclusive upstreams: the fences in
// them for single ownership of each key, and the executions against the outcomes
// that callers received, by key.
func (f *Fleet) CheckOwnership(outcomes map[string]KeyOutcomes) []error {
	log, err := f.exclusiveWork()
	if err != nil {
		return []error{err}
	}
	return append(checkFenceOrder(log), checkRunCounts(log, outcomes)...)
}

// exclusiveWork returns the work log entries of all exclusive upstreams, sorted
// by time.
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

// checkFenceOrder reports keys whose owner changed without a higher fence. The
// interleaved work of two concurrent owners shows as such a change.
func checkFenceOrder(log []WorkEntry) []error {
	var violations []error
	last := map[string]WorkEntry{}
	for _, work := range log {
		before, ok := last[work.Key]
		if ok && before.Upstream != work.Upstream && !olderFence(before.Fence, work.Fence) {
			violations = append(violations, InvariantError{Description: fmt.Sprintf(
				"key %s: got work at %s under %s after work at %s under %s, want a higher fence",
				work.Key, work.Upstream, work.Fence, before.Upstream, before.Fence)})
		}
		last[work.Key] = work
	}
	return violations
}

// maxIdempotentRuns is the maximum number of runs of one idempotent request. A retry
// follows an answer that was broken or lost.
const maxIdempotentRuns = 4

// checkRunCounts compares the executions of each key with the outcomes that
// callers received: no request was executed more often than its method allows,
// every answer had an execution, and every execution had an answer or an unknown
// outcome.
func checkRunCounts(log []WorkEntry, outcomes map[string]KeyOutcomes) []error {
	var violations []error
	runs, requests := map[string]int{}, map[string]int{}
	for _, work := range log {
		runs[work.Key]++
		requests[work.RequestID]++
		most := 1
		if work.Method == http.MethodGet {
			most = maxIdempotentRuns
		}
		if count := requests[work.RequestID]; count == most+1 {
			violations = append(violations, InvariantError{Description: fmt.Sprintf(
				"request %s, %s: got more than %d runs, want at most that", work.RequestID, work.Method, most)})
		}
	}
	for key, o := range outcomes {
		if got := runs[key]; got < o.Answered || got > o.Answered+o.Unknown {
			violations = append(violations, InvariantError{Description: fmt.Sprintf(
				"key %s: got %d runs, want %d to %d", key, got, o.Answered, o.Answered+o.Unknown)})
		}
	}
	return violations
}

// olderFence reports whether the first fence was issued before the second. A
// fence has the form term.sequence.
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
