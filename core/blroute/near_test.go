package blroute_test

import (
	"testing"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

func TestNearUpstreamsComeFirstWhileTheyHaveRoom(t *testing.T) {
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
		{"nothing is known of it", blvalue.Load{}, true},
		{"a slot is free", blvalue.Load{Running: 5, Limit: 6}, true},
		{"all slots are taken", blvalue.Load{Running: 6, Waiting: 2, Limit: 6}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			healths := blroute.Healths{}.With("near", blroute.Health{Load: c.load})
			near := 0
			for draw := range uint64(100) {
				if (blroute.NearFirst{Domain: "here"}).Choose(candidates, healths, draw).Upstream.Name == "near" {
					near++
				}
			}
			if got := near == 100; got != c.want {
				t.Errorf("always near: got %t (%d of 100), want %t", got, near, c.want)
			}
		})
	}
}
