package blassign_test

import (
	"slices"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// TestDifferentConfigurations checks which side reads or fetches the later one of two
// configurations, and when.
func TestDifferentConfigurations(t *testing.T) {
	const adopted = 10 * time.Second
	cases := []struct {
		name       string
		node       blassign.Heartbeat
		after      time.Duration
		storeLost  bool
		wantReply  blassign.HeartbeatReply
		wantEffect []blassign.Effect
	}{
		{"same revision", blassign.Heartbeat{ConfigRevision: 5, ConfigDigest: 50}, time.Hour, false, blassign.HeartbeatReply{}, nil},
		{"same text at another revision", blassign.Heartbeat{ConfigRevision: 4, ConfigDigest: 50}, time.Hour, false, blassign.HeartbeatReply{}, nil},
		{
			"the node may still read it", blassign.Heartbeat{ConfigRevision: 4}, time.Second, false,
			blassign.HeartbeatReply{ConfigRevision: 5}, nil,
		},
		{
			"the node has not read it", blassign.Heartbeat{ConfigRevision: 4}, 1300 * time.Millisecond, false,
			blassign.HeartbeatReply{ConfigRevision: 5, FetchConfig: true}, nil,
		},
		{
			"the node depends on the lead", blassign.Heartbeat{ConfigRevision: 4, WantsConfig: true}, 0, false,
			blassign.HeartbeatReply{ConfigRevision: 5, FetchConfig: true}, nil,
		},
		{
			"the lead may still read it", blassign.Heartbeat{ConfigRevision: 6}, 0, false,
			blassign.HeartbeatReply{}, []blassign.Effect{blassign.ReloadConfig{}},
		},
		{
			"the lead can't read it", blassign.Heartbeat{ConfigRevision: 6}, 0, true,
			blassign.HeartbeatReply{}, []blassign.Effect{blassign.ReloadConfig{}, blassign.FetchConfig{From: blvalue.Host{Name: "a"}}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := bltimer.Instant(adopted)
			state := blassign.New(blassign.LeastMoves{})
			state, _ = state.Decide(blassign.AuthorityChanged{Authority: bllead.Authority{
				Term: 1, Until: now.Add(2 * time.Hour), MayChange: !c.storeLost,
			}}, now)
			state, _ = state.Decide(blassign.ConfigSeen{Accepted: blconfig.Accepted{
				Revision: 5, Digest: 50, Plan: blconfig.Plan{Timing: blconfig.Timing{GrantTTL: time.Second}},
			}}, now)
			c.node.Node = blvalue.Host{Name: "a"}
			c.node.Sequence = 1
			c.node.Reply = blring.NewReply[blassign.HeartbeatReply]()
			_, effects := state.Decide(c.node, now.Add(c.after))
			reply := effects[0].(blassign.AnswerHeartbeat).HeartbeatReply
			if reply.ConfigRevision != c.wantReply.ConfigRevision || reply.FetchConfig != c.wantReply.FetchConfig {
				t.Errorf("reply: got %+v, want %+v", reply, c.wantReply)
			}
			if !slices.Equal(effects[1:], c.wantEffect) {
				t.Errorf("effects: got %v, want %v", effects[1:], c.wantEffect)
			}
		})
	}
}

// TestLeadFetchesConfigurationThatItCantRead guards against a lead that keeps asking
// its store for a configuration that only the nodes can read.
func TestLeadFetchesConfigurationThatItCantRead(t *testing.T) {
	now := bltimer.Instant(time.Second)
	state := blassign.New(blassign.LeastMoves{})
	state, _ = state.Decide(blassign.AuthorityChanged{Authority: bllead.Authority{
		Term: 1, Until: now.Add(time.Hour), MayChange: true,
	}}, now)
	state, _ = state.Decide(blassign.ConfigSeen{Accepted: blconfig.Accepted{Revision: 5, Digest: 50}}, now)
	for sequence, want := range []bool{false, true, true} {
		var effects []blassign.Effect
		state, effects = state.Decide(blassign.Heartbeat{
			Node: blvalue.Host{Name: "a"}, Sequence: uint64(sequence + 1), ConfigRevision: 6, Reply: blring.NewReply[blassign.HeartbeatReply](),
		}, now.Add(time.Duration(sequence)*700*time.Millisecond))
		got := slices.Contains(effects, blassign.Effect(blassign.FetchConfig{From: blvalue.Host{Name: "a"}}))
		if got != want {
			t.Errorf("heartbeat %d: got a fetch %t, want %t", sequence+1, got, want)
		}
	}
}

// TestLeadAndNodeDifferAfterARestore checks that the side with the earlier version
// gets the later one from the other, without reads of the store, which doesn't hold it.
func TestLeadAndNodeDifferAfterARestore(t *testing.T) {
	host := blvalue.Host{Name: "a"}
	fetch := []blassign.Effect{blassign.FetchConfig{From: host}}
	cases := []struct {
		name   string
		node   blassign.Heartbeat
		reply  blassign.HeartbeatReply
		effect []blassign.Effect
	}{
		{"same version and revision", blassign.Heartbeat{ConfigRevision: 5, ConfigVersion: 14}, blassign.HeartbeatReply{}, nil},
		{
			"a new node read the copy", blassign.Heartbeat{ConfigRevision: 5, ConfigVersion: 11},
			blassign.HeartbeatReply{ConfigRevision: 5, ConfigVersion: 14, FetchConfig: true}, nil,
		},
		{
			"the node read a later revision of the copy", blassign.Heartbeat{ConfigRevision: 6, ConfigVersion: 11},
			blassign.HeartbeatReply{ConfigRevision: 5, ConfigVersion: 14, FetchConfig: true}, nil,
		},
		{
			"the node has not read the restored store", blassign.Heartbeat{ConfigRevision: 4, ConfigVersion: 13},
			blassign.HeartbeatReply{ConfigRevision: 5, ConfigVersion: 14}, nil,
		},
		{"only the node knows the later version", blassign.Heartbeat{ConfigRevision: 5, ConfigVersion: 15}, blassign.HeartbeatReply{}, fetch},
		{"the node had the later version before the restore", blassign.Heartbeat{ConfigRevision: 3, ConfigVersion: 15}, blassign.HeartbeatReply{}, fetch},
		{
			"the operator has written again", blassign.Heartbeat{ConfigRevision: 6, ConfigVersion: 15}, blassign.HeartbeatReply{},
			[]blassign.Effect{blassign.ReloadConfig{}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := bltimer.Instant(time.Second)
			state := blassign.New(blassign.LeastMoves{})
			state, _ = state.Decide(blassign.AuthorityChanged{Authority: bllead.Authority{
				Term: 1, Until: now.Add(time.Hour), MayChange: true,
			}}, now)
			inForce := blconfig.Accepted{Revision: 5, Version: 14, Digest: 50}
			state, _ = state.Decide(blassign.ConfigSeen{Accepted: inForce}, now)
			state, _ = state.Decide(blassign.ConfigSeen{Accepted: blconfig.Accepted{Revision: 9, Version: 11}}, now)
			if got := state.Config().Version; got != 14 {
				t.Fatalf("version after that of the copy: got %d, want 14", got)
			}
			c.node.Node, c.node.Sequence, c.node.Reply = host, 1, blring.NewReply[blassign.HeartbeatReply]()
			_, effects := state.Decide(c.node, now)
			reply := effects[0].(blassign.AnswerHeartbeat).HeartbeatReply
			got := blassign.HeartbeatReply{ConfigRevision: reply.ConfigRevision, ConfigVersion: reply.ConfigVersion, FetchConfig: reply.FetchConfig}
			if got.ConfigRevision != c.reply.ConfigRevision || got.ConfigVersion != c.reply.ConfigVersion || got.FetchConfig != c.reply.FetchConfig {
				t.Errorf("reply: got %+v, want %+v", got, c.reply)
			}
			if !slices.Equal(effects[1:], c.effect) {
				t.Errorf("effects: got %v, want %v", effects[1:], c.effect)
			}
		})
	}
}
