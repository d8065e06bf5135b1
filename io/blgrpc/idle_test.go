package blgrpc

import (
	"os"
	"os/exec"
	"runtime"
	"testing"
)

// ownProcessEnv is set in a process that runs a single test.
const ownProcessEnv = "BLGRPC_TEST_IN_OWN_PROCESS"

// inOwnProcess reports whether the test runs in a process of its own. Otherwise it runs the
// test in one, and fails if that fails.
func inOwnProcess(t *testing.T) bool {
	t.Helper()
	if os.Getenv(ownProcessEnv) != "" {
		return true
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1", "-test.v")
	cmd.Env = append(os.Environ(), ownProcessEnv+"=1")
	output, err := cmd.CombinedOutput()
	if err != nil {
		t.Errorf("test in a process of its own: got %v, want no error", err)
	}
	t.Logf("test in a process of its own:\n%s", output)
	return false
}

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
// nodes hold while nothing arrives. It runs in a process of its own, since the heap of this one
// shrinks while connections of earlier tests are torn down.
func TestIdleConnectionHoldsBuffers(t *testing.T) {
	const (
		connections        = 50
		maxConnectionBytes = 40 << 10
	)
	if !inOwnProcess(t) {
		return
	}
	address := serveNode(t, identityNode{})
	connect := func() {
		if _, err := newTestClient(t).Identify(t.Context(), address); err != nil {
			t.Fatalf("identify: %v", err)
		}
	}
	// The first call allocates what all connections share.
	connect()
	before := int64(heapBytes())
	for range connections {
		connect()
	}
	got := (int64(heapBytes()) - before) / connections
	t.Logf("bytes of an idle connection: %d", got)
	if got <= 0 || got > maxConnectionBytes {
		t.Errorf("bytes of an idle connection: got %d, want 1 to %d", got, maxConnectionBytes)
	}
}
