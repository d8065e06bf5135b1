package blassign

import (
	"testing"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

func TestFasterUpstreamsWeighMore(t *testing.T) {
	cases := []struct {
		name  string
		paces map[blvalue.UpstreamName]time.Duration
		want  map[blvalue.UpstreamName]int
	}{
		{"nothing is known", nil, map[blvalue.UpstreamName]int{"a": 600, "b": 600, "c": 600}},
		{"a change that isn't worth a move", map[blvalue.UpstreamName]time.Duration{
			"a": 100 * time.Millisecond, "b": 105 * time.Millisecond, "c": 110 * time.Millisecond,
		}, map[blvalue.UpstreamName]int{"a": 600, "b": 600, "c": 600}},
		{"one is half as fast", map[blvalue.UpstreamName]time.Duration{
			"a": 100 * time.Millisecond, "b": 100 * time.Millisecond, "c": 200 * time.Millisecond,
		}, map[blvalue.UpstreamName]int{"a": 600, "b": 600, "c": 300}},
		{"one is ten times as slow", map[blvalue.UpstreamName]time.Duration{
			"a": 100 * time.Millisecond, "b": 100 * time.Millisecond, "c": time.Second,
		}, map[blvalue.UpstreamName]int{"a": 600, "b": 600, "c": 300}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New(LeastMoves{})
			var heartbeat Heartbeat
			for _, name := range []blvalue.UpstreamName{"a", "b", "c"} {
				upstream := blvalue.Upstream{Name: name, Incarnation: blvalue.Incarnation(name), Service: "pot", Slots: 6}
				s = s.withEntry(Entry{Upstream: upstream})
				heartbeat.Loads = append(heartbeat.Loads, UpstreamLoad{
					Incarnation: upstream.Incarnation, Load: blvalue.Load{Limit: 6, Service: c.paces[name]},
				})
			}
			s = s.withLoads(heartbeat).withWeights(bltimer.Instant(time.Minute))
			for name, want := range c.want {
				entry, _ := s.entries.Get(name)
				if got := s.weight(entry.Entry); got != want {
					t.Errorf("weight of %s: got %d, want %d", name, got, want)
				}
			}
		})
	}
}

// TestWeightsWhereEveryUpstreamIsGone replays a service all of whose upstreams
// are gone after they had answered: seed 5 of the soak ended the lead's process.
func TestWeightsWhereEveryUpstreamIsGone(t *testing.T) {
	upstream := blvalue.Upstream{Name: "a", Incarnation: "a", Service: "pot", Slots: 6}
	s := New(LeastMoves{}).withEntry(Entry{Upstream: upstream, Gone: true}).withLoads(Heartbeat{Loads: []UpstreamLoad{
		{Incarnation: "a", Load: blvalue.Load{Limit: 6, Service: time.Millisecond}},
	}})
	s = s.withWeights(bltimer.Instant(time.Minute))
	entry, _ := s.entries.Get("a")
	if got, want := s.weight(entry.Entry), 600; got != want {
		t.Errorf("weight: got %d, want %d", got, want)
	}
}
