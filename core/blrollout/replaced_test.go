package blrollout_test

import (
	"slices"
	"testing"
	"time"
)

// TestUpstreamsThatJoinAfterTheEnd guards against upstreams of a further version that get no
// requests because of an order that ended before they were started.
func TestUpstreamsThatJoinAfterTheEnd(t *testing.T) {
	t.Parallel()
	o := defaultSmall()
	o.freshness = platformFreshness
	sim := started(o)
	sim.runUntil(orderAt + 14*time.Second)
	if got, want := sim.final(), "v2 completed"; got != want {
		t.Fatalf("ends: got %q, want %q", got, want)
	}
	sim.addNode(len(sim.nodes))
	joined := sim.nodes[len(sim.nodes)-1]
	joined.upstream.Version, joined.startedAt = "v3", sim.now
	sim.runUntil(sim.now + 4*time.Second)
	held := sim.lead().admission.Held
	if slices.Contains(held, joined.upstream.Incarnation) {
		t.Errorf("held: got %v, want none that joined after the end", held)
	}
	for _, n := range sim.nodes[:sim.old] {
		if !slices.Contains(held, n.upstream.Incarnation) {
			t.Errorf("held: got %v, want %s that served before", held, n.upstream.Incarnation)
		}
	}
}
