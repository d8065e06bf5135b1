package blmember_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blmember"
)

func TestConfigurationRevisionNeverDecreases(t *testing.T) {
	n := newNode()
	for _, revision := range []uint64{7, 6, 7} {
		n.send(blmember.ConfigSeen{Origin: blmember.OriginNode, Accepted: blconfig.Accepted{
			Revision: revision, Plan: blconfig.Plan{Timing: blconfig.Timing{Heartbeat: 300 * time.Millisecond}},
		}})
		if got, want := n.state.Revision(), uint64(7); got != want {
			t.Errorf("revision after %d: got %d, want %d", revision, got, want)
		}
	}
}

// TestLaterConfigurationIsFetched checks what a node does when the lead reports a
// later configuration.
func TestLaterConfigurationIsFetched(t *testing.T) {
	cases := []struct {
		name       string
		readsStore bool
		reply      blassign.HeartbeatReply
		fetch      bool
		reload     bool
	}{
		{"same configuration", true, blassign.HeartbeatReply{Term: 3}, false, false},
		{"the node may read it itself", true, blassign.HeartbeatReply{Term: 3, ConfigRevision: 9}, false, true},
		{"the node has not read it in time", true, blassign.HeartbeatReply{Term: 3, ConfigRevision: 9, FetchConfig: true}, true, true},
		{"the node depends on the lead", false, blassign.HeartbeatReply{Term: 3, ConfigRevision: 9, FetchConfig: true}, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode()
			n.send(blmember.ConfigSourceChanged{ReadsStore: c.readsStore})
			sent, _ := n.tick(time.Second)
			n.effects = nil
			n.send(blmember.HeartbeatAnswered{SentAt: sent.SentAt, From: sent.To, Reply: c.reply})
			fetch, reload := false, false
			for _, effect := range n.effects {
				switch e := effect.(type) {
				case blmember.FetchConfig:
					fetch = e.From == sent.To
				case blmember.ReloadConfig:
					reload = true
				}
			}
			if fetch != c.fetch || reload != c.reload {
				t.Errorf("fetch and reload: got %t and %t, want %t and %t", fetch, reload, c.fetch, c.reload)
			}
		})
	}
}

// TestEarlierVersionOfARestoredStoreIsIgnored guards against a node that brings an
// earlier version of the configuration into force because its revision is later.
func TestEarlierVersionOfARestoredStoreIsIgnored(t *testing.T) {
	n := newNode()
	n.send(blmember.ConfigSeen{Accepted: blconfig.Accepted{Revision: 5, Version: 14}})
	n.send(blmember.ConfigSeen{Accepted: blconfig.Accepted{Revision: 9, Version: 11}})
	if len(n.effects) != 0 {
		t.Errorf("effects of version 11: got %v, want none", n.effects)
	}
	if sent, ok := n.tick(time.Second); !ok || sent.Heartbeat.ConfigVersion != 14 || sent.Heartbeat.ConfigRevision != 5 {
		t.Errorf("heartbeat: got version %d, revision %d, want 14, 5", sent.Heartbeat.ConfigVersion, sent.Heartbeat.ConfigRevision)
	}
}
