package blgrpc

import (
	"runtime"
	"testing"
)

// heapBytes returns the bytes of live objects on the heap.
func heapBytes() uint64 {
	// Pools keep their contents for one collection more.
	runtime.GC()
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestIdleConnectionHoldsBuffers guards against read buffers that all connections between
// nodes hold while nothing arrives.
func TestIdleConnectionHoldsBuffers(t *testing.T) {
	const (
		connections        = 50
		maxConnectionBytes = 40 << 10
	)
	address := serveNode(t, identityNode{})
	connect := func() {
		if _, err := newTestClient(t).Identify(t.Context(), address); err != nil {
			t.Fatalf("identify: %v", err)
		}
	}
	// The first call allocates what all connections share.
	connect()
	before := heapBytes()
	for range connections {
		connect()
	}
	got := (heapBytes() - before) / connections
	t.Logf("bytes of an idle connection: %d", got)
	if got > maxConnectionBytes {
		t.Errorf("bytes of an idle connection: got %d, want at most %d", got, maxConnectionBytes)
	}
}
