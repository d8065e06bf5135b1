package bldeliver_test

import (
	"testing"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// TestCallsFirst guards against calls of less urgent requests that displace more urgent
// callers' requests of the service that they call.
func TestCallsFirst(t *testing.T) {
	var calls bldeliver.CallClasses
	now := bltimer.Instant(0)
	for i := range 400 {
		now = now.Add(20_000_000)
		calls, _ = calls.WithRequest("book", []blvalue.ServiceName{"maps", "guides"}[i%2], now)
		calls, _ = calls.WithRequest("lookup", "maps", now)
	}
	if !calls.Contains("lookup") {
		t.Fatal("class of calls: got not recognised, want recognised")
	}
	route := func(name string, service blvalue.ServiceName, rank int) blconfig.Route {
		return blconfig.Route{Name: name, Service: service, Rank: rank}
	}
	lookup := route("lookup", "guides", 0)
	tests := map[string]struct {
		routes []blconfig.Route
		want   bool
	}{
		"parents more urgent":   {[]blconfig.Route{lookup, route("read", "maps", 1), route("book", "guides", 2)}, true},
		"equally urgent":        {[]blconfig.Route{lookup, route("read", "maps", 1), route("book", "guides", 1)}, true},
		"parents less urgent":   {[]blconfig.Route{lookup, route("read", "maps", 2), route("book", "guides", 1)}, false},
		"most urgent parent":    {[]blconfig.Route{lookup, route("read", "maps", 3), route("pay", "maps", 0), route("book", "guides", 1)}, true},
		"weighted route":        {[]blconfig.Route{lookup, {Name: "read", Rank: 2, WeightedServices: []blconfig.WeightedService{{Service: "maps", Weight: 1}}}, route("book", "guides", 1)}, false},
		"no route of parents":   {[]blconfig.Route{lookup, route("book", "guides", 1)}, true},
		"no callers' route":     {[]blconfig.Route{lookup, route("read", "maps", 2)}, true},
		"no route at all known": {nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := bldeliver.NewUrgencies(test.routes, calls).CallsFirst("maps", "guides"); got != test.want {
				t.Errorf("calls go first: got %v, want %v", got, test.want)
			}
		})
	}
}
