package blassign

import (
	"testing"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

func TestFasterUpstreamsGetHigherWeights(t *testing.T) {
	cases := []struct {
		name         string
		serviceTimes map[blvalue.UpstreamName]time.Duration
		want         map[blvalue.UpstreamName]int
	}{
		{"no service times are known", nil, map[blvalue.UpstreamName]int{"a": 600, "b": 600, "c": 600}},
		{"the change doesn't justify a move", map[blvalue.UpstreamName]time.Duration{
			"a": 100 * time.Millisecond, "b": 105 * time.Millisecond, "c": 110 * time.Millisecond,
		}, map[blvalue.UpstreamName]int{"a": 600, "b": 600, "c": 600}},
		{"one upstream takes twice as long", map[blvalue.UpstreamName]time.Duration{
			"a": 100 * time.Millisecond, "b": 100 * time.Millisecond, "c": 200 * time.Millisecond,
		}, map[blvalue.UpstreamName]int{"a": 600, "b": 600, "c": 300}},
		{"one upstream takes ten times as long", map[blvalue.UpstreamName]time.Duration{
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
					Incarnation: upstream.Incarnation, Load: blvalue.Load{Limit: 6, ServiceTime: c.serviceTimes[name]},
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

// TestWeightsWhenAllUpstreamsAreGone guards against a crash of the lead when all
// upstreams of a service are gone after they had answered, so that the service
// has no median. Seed 5 of the soak test terminated the lead's process.
func TestWeightsWhenAllUpstreamsAreGone(t *testing.T) {
	upstream := blvalue.Upstream{Name: "a", Incarnation: "a", Service: "pot", Slots: 6}
	s := New(LeastMoves{}).withEntry(Entry{Upstream: upstream, Gone: true}).withLoads(Heartbeat{Loads: []UpstreamLoad{
		{Incarnation: "a", Load: blvalue.Load{Limit: 6, ServiceTime: time.Millisecond}},
	}})
	s = s.withWeights(bltimer.Instant(time.Minute))
	entry, _ := s.entries.Get("a")
	if got, want := s.weight(entry.Entry), 600; got != want {
		t.Errorf("weight: got %d, want %d", got, want)
	}
}
