package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// grant holds the partitions that the local node was granted, and their expiry.
type grant struct {
	Term         uint64   `json:"term"`
	Sequence     uint64   `json:"sequence"`
	Partitions   []uint64 `json:"partitions"`
	UntilClockMS int64    `json:"until_clock_ms"`
}

func (g grant) covers(partition int) bool {
	word := partition / 64
	return partition >= 0 && word < len(g.Partitions) && g.Partitions[word]&(1<<(partition%64)) != 0
}

func (s *server) setGrant(w http.ResponseWriter, r *http.Request) {
	var g grant
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	older := g.Term < s.grant.Term || g.Term == s.grant.Term && g.Sequence < s.grant.Sequence
	if !older {
		s.grant = g
	}
	w.WriteHeader(http.StatusNoContent)
}

// order is a request with the values of its internal headers.
type order struct {
	key       string
	partition int
	fence     fence
	fenceText string
	exclusive bool
}

func readOrder(r *http.Request) order {
	parts := strings.SplitN(strings.Trim(r.URL.Path, "/"), "/", 3)
	text := r.Header.Get("Bergamotlead-Fence")
	o := order{fence: parseFence(text), fenceText: text, partition: -1}
	if len(parts) > 1 {
		o.key = parts[1]
	}
	if partition, err := strconv.Atoi(r.Header.Get("Bergamotlead-Partition")); err == nil {
		o.partition = partition
		o.exclusive = true
	}
	return o
}

// grantCovers reports whether the current grant covers the order. The caller must
// hold the lock.
func (s *server) grantCovers(o order) bool {
	if !s.args.ChecksFence || !s.args.Exclusive {
		return true
	}
	if !o.exclusive || !s.grant.covers(o.partition) || s.clockMS() >= s.grant.UntilClockMS {
		return false
	}
	seen := s.fences[o.partition]
	if o.fence.less(seen) {
		return false
	}
	s.fences[o.partition] = o.fence
	return true
}

// fence orders grants by term and sequence.
type fence struct {
	term     uint64
	sequence uint64
}

func parseFence(text string) fence {
	term, sequence, _ := strings.Cut(text, ".")
	var f fence
	f.term, _ = strconv.ParseUint(term, 10, 64)
	f.sequence, _ = strconv.ParseUint(sequence, 10, 64)
	return f
}

func (f fence) less(g fence) bool {
	return f.term < g.term || f.term == g.term && f.sequence < g.sequence
}
