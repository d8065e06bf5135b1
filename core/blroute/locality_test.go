package blroute_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

func TestLocalityFirstPrefersLocalUpstreamsWithFreeSlots(t *testing.T) {
	at := func(name, domain string) blassign.Entry {
		return blassign.Entry{
			Upstream: blvalue.Upstream{Name: blvalue.UpstreamName(name), Service: "wishlist", Slots: 6},
			Node:     blvalue.Host{Name: blvalue.HostName(name), Domain: blvalue.DomainName(domain)},
		}
	}
	candidates := []blassign.Entry{at("near", "here"), at("far_1", "there"), at("far_2", "there")}
	cases := []struct {
		name string
		load blvalue.Load
		want bool
	}{
		{"no load report", blvalue.Load{}, true},
		{"one slot free", blvalue.Load{Running: 5, Limit: 6}, true},
		{"no slot free", blvalue.Load{Running: 6, Waiting: 2, Limit: 6}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			healths := blroute.Healths{}.With("near", blroute.Health{Load: c.load})
			local := 0
			for draw := range uint64(100) {
				if (blroute.LocalityFirst{Domain: "here"}).Choose(candidates, healths, draw, 0).Upstream.Name == "near" {
					local++
				}
			}
			if got := local == 100; got != c.want {
				t.Errorf("local upstream always chosen: got %t (%d of 100), want %t", got, local, c.want)
			}
		})
	}
}

// TestLocalityFirstAvoidsColdUpstreams covers the replacement of upstreams under
// load: the new ones are cold, so they have little capacity but appear idle.
func TestLocalityFirstAvoidsColdUpstreams(t *testing.T) {
	at := func(name, domain string, cold bool) blassign.Entry {
		return blassign.Entry{
			Upstream: blvalue.Upstream{Name: blvalue.UpstreamName(name), Service: "wishlist", Slots: 6, Cold: cold},
			Node:     blvalue.Host{Name: blvalue.HostName(name), Domain: blvalue.DomainName(domain)},
		}
	}
	full := blroute.Health{Load: blvalue.Load{Running: 6, Limit: 6}}
	cases := []struct {
		name    string
		healths blroute.Healths
		now     time.Duration
		want    blvalue.UpstreamName
	}{
		{"local warm upstream has a free slot", blroute.Healths{}, 0, "near_warm"},
		{"local warm upstream is full", blroute.Healths{}.With("near_warm", full), 0, "far_warm"},
		{"load report of the local warm upstream has expired", blroute.Healths{}.With("near_warm", full), time.Second, "near_warm"},
	}
	candidates := []blassign.Entry{at("near_cold", "here", true), at("near_warm", "here", false), at("far_warm", "there", false)}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for draw := range uint64(50) {
				chosen := (blroute.LocalityFirst{Domain: "here"}).Choose(candidates, c.healths, draw, bltimer.Instant(c.now))
				if got := chosen.Upstream.Name; got != c.want {
					t.Fatalf("upstream: got %s, want %s", got, c.want)
				}
			}
		})
	}
}
