package blroute_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

func held(name string) blassign.Entry {
	e := entry(name, "wishlist")
	e.Held = true
	return e
}

// TestHeldUpstreamsAreNotChosen guards against requests to upstreams that a roll-out holds
// back, also where nothing else is left to try.
func TestHeldUpstreamsAreNotChosen(t *testing.T) {
	gone := func(name string) blassign.Entry {
		e := entry(name, "wishlist")
		e.Gone = true
		return e
	}
	hedge := blroute.Find{Hedge: true, Avoid: "wish_1"}
	cases := []struct {
		name    string
		entries []blassign.Entry
		message blroute.Find
		// failed are upstreams that are ejected.
		failed []blvalue.UpstreamName
		want   []blvalue.UpstreamName
	}{
		{"two of three held", []blassign.Entry{held("wish_2"), held("wish_3")}, blroute.Find{First: true}, nil, []blvalue.UpstreamName{"wish_1"}},
		{"the only other one is ejected", []blassign.Entry{held("wish_2"), held("wish_3")}, blroute.Find{First: true},
			[]blvalue.UpstreamName{"wish_1"}, []blvalue.UpstreamName{"wish_1"}},
		{"a retry that avoids the only other one", []blassign.Entry{held("wish_2"), held("wish_3")}, blroute.Find{Avoid: "wish_1"}, nil,
			[]blvalue.UpstreamName{"wish_1"}},
		{"a hedge", []blassign.Entry{held("wish_2"), held("wish_3")}, hedge, nil, []blvalue.UpstreamName{"wish_1"}},
		{"all held", []blassign.Entry{held("wish_1"), held("wish_2"), held("wish_3")}, blroute.Find{First: true}, nil, nil},
		{"held, and all others gone", []blassign.Entry{gone("wish_1"), gone("wish_2"), held("wish_3")}, blroute.Find{First: true}, nil, nil},
		{"released again", []blassign.Entry{held("wish_1"), held("wish_2"), held("wish_3"), entry("wish_3", "wishlist")},
			blroute.Find{First: true}, nil, []blvalue.UpstreamName{"wish_3"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newState()
			// Hedges need earlier requests that earn their budget.
			for range 400 {
				s, _ = find(s, "wishlist", "x", 0)
			}
			s, _ = blroute.Decide(s, blroute.DirectoryChanged{Directory: blassign.Directory{Entries: c.entries}}, 0)
			for _, name := range c.failed {
				for range 5 {
					s, _ = blroute.Decide(s, blroute.AttemptCompleted{Upstream: name, Failed: true}, 0)
				}
			}
			chosen := map[blvalue.UpstreamName]bool{}
			for range 10 {
				message := c.message
				message.Request = blvalue.Request{Service: "wishlist", Key: "x"}
				message.Reply = blring.NewReply[blroute.Answer]()
				var effects []blroute.Effect
				s, effects = blroute.Decide(s, message, 0)
				answer := effects[0].Answer
				if answer.Refusal == nil {
					chosen[answer.Target.Upstream] = true
				} else if got, want := answer.Refusal.Reason, blvalue.ReasonNoUpstream; got != want {
					t.Errorf("refusal: got %s, want %s", got, want)
				}
			}
			if len(chosen) != len(c.want) {
				t.Errorf("chosen: got %v, want %v", chosen, c.want)
			}
			for _, name := range c.want {
				if !chosen[name] {
					t.Errorf("chosen: got %v, want %v", chosen, c.want)
				}
			}
		})
	}
}

// TestHeldOwnerServesItsKeys guards against keys without an owner between the time when
// their owner is held and the time when they have moved.
func TestHeldOwnerServesItsKeys(t *testing.T) {
	s := newState()
	owner := entry("pot_1", "pot")
	owner.Held = true
	s, _ = blroute.Decide(s, blroute.DirectoryChanged{Directory: blassign.Directory{Entries: []blassign.Entry{owner}}}, 0)
	found := false
	for _, key := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		var answer blroute.Answer
		s, answer = find(s, "pot", key, time.Second)
		found = found || answer.Target.Upstream == "pot_1"
	}
	if !found {
		t.Error("owner of any key: got none, want pot_1")
	}
}
