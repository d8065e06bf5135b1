package blmember_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

func host(name string) blvalue.Host {
	return blvalue.Host{Name: blvalue.HostName(name), Incarnation: blvalue.Incarnation(name + "_run"), Address: name}
}

// node runs Decide for one node and keeps its state.
type node struct {
	state   blmember.State
	now     bltimer.Instant
	effects []blmember.Effect
}

func newNode() *node {
	n := &node{state: blmember.New(host("self")), now: bltimer.Instant(time.Minute)}
	n.send(blmember.RecordSeen{Record: bllead.Record{Term: 2, Lead: host("lead"), Standby: host("standby")}})
	return n
}

func (n *node) send(message blmember.Message) {
	n.state, n.effects = blmember.Decide(n.state, message, n.now)
}

func (n *node) sent() (blmember.SendHeartbeat, bool) {
	for _, effect := range n.effects {
		if sent, ok := effect.(blmember.SendHeartbeat); ok {
			return sent, true
		}
	}
	return blmember.SendHeartbeat{}, false
}

func (n *node) tick(after time.Duration) (blmember.SendHeartbeat, bool) {
	n.now = n.now.Add(after)
	n.send(blmember.Tick{})
	return n.sent()
}

func TestUnansweredHeartbeatsAlternateBetweenLeadAndStandby(t *testing.T) {
	n := newNode()
	want := []blvalue.HostName{"lead", "standby", "lead", "standby"}
	recipients := make([]blvalue.HostName, 0, len(want))
	for range want {
		sent, ok := n.tick(100 * time.Millisecond)
		if !ok {
			t.Fatal("heartbeat: got none, want one")
		}
		recipients = append(recipients, sent.To.Name)
		n.send(blmember.HeartbeatAnswered{SentAt: sent.SentAt, From: sent.To, Failed: true})
	}
	for i := range want {
		if recipients[i] != want[i] {
			t.Errorf("heartbeat %d: got %s, want %s", i, recipients[i], want[i])
		}
	}
}

func TestAnswersThatAreIgnored(t *testing.T) {
	cases := []struct {
		name   string
		before func(n *node)
		reply  blassign.HeartbeatReply
		late   bool
	}{
		{"from a lead of a lower term", func(n *node) {
			sent, _ := n.tick(time.Second)
			n.send(blmember.HeartbeatAnswered{SentAt: sent.SentAt, From: host("lead"), Reply: blassign.HeartbeatReply{Term: 5}})
		}, blassign.HeartbeatReply{Term: 4}, false},
		{"from a node that isn't lead", func(*node) {}, blassign.HeartbeatReply{}, false},
		{"to an earlier heartbeat", func(*node) {}, blassign.HeartbeatReply{Term: 9}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode()
			c.before(n)
			term := n.state.Term()
			sent, _ := n.tick(time.Second)
			at := sent.SentAt
			if c.late {
				at = at.Add(-time.Millisecond)
			}
			n.send(blmember.HeartbeatAnswered{SentAt: at, From: sent.To, Reply: c.reply})
			if got := n.state.Term(); got != term {
				t.Errorf("term: got %d, want %d", got, term)
			}
			if got := len(n.effects); got != 0 {
				t.Errorf("effects: got %v, want none", n.effects)
			}
		})
	}
}

func TestHeartbeatRequestedWhileAnotherIsInFlight(t *testing.T) {
	n := newNode()
	sent, _ := n.tick(time.Second)
	n.send(blmember.HeartbeatRequested{})
	if _, ok := n.sent(); ok {
		t.Error("heartbeat while another is in flight: got one, want none")
	}
	n.send(blmember.HeartbeatAnswered{SentAt: sent.SentAt, From: sent.To, Reply: blassign.HeartbeatReply{Term: 3}})
	if _, ok := n.tick(time.Millisecond); !ok {
		t.Error("heartbeat after the answer: got none, want one")
	}
}

// TestNodesAreRemovedFromFullDirectory guards against a node that asks hosts for the
// lead that are gone, once it knows as many nodes as it keeps.
func TestNodesAreRemovedFromFullDirectory(t *testing.T) {
	const nodes = 1100
	n := newNode()
	directory := blassign.Directory{Full: true}
	for i := range nodes {
		directory.Entries = append(directory.Entries, blassign.Entry{Node: host(fmt.Sprintf("node_%d", i))})
	}
	count := func(directory blassign.Directory) int {
		sent, _ := n.tick(2 * time.Second)
		n.send(blmember.HeartbeatAnswered{SentAt: sent.SentAt, From: sent.To, Reply: blassign.HeartbeatReply{Term: 3, Directory: &directory}})
		for _, effect := range n.effects {
			if changed, ok := effect.(blmember.NodesChanged); ok {
				return len(changed.Nodes)
			}
		}
		return 0
	}
	full := count(directory)
	gone := blassign.Entry{Node: host("node_0"), Gone: true}
	if got, want := count(blassign.Directory{Entries: []blassign.Entry{gone}}), full-1; got != want {
		t.Errorf("nodes after one is gone: got %d, want %d", got, want)
	}
}

// TestLeadIsNotOverdueBetweenTwoHeartbeats guards against nodes of a large fleet that
// reread the configuration before each heartbeat: their heartbeats are further apart
// than the fixed time after which the lead counted as unavailable.
func TestLeadIsNotOverdueBetweenTwoHeartbeats(t *testing.T) {
	for _, nodes := range []int{3, 195, 710} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			n := newNode()
			directory := blassign.Directory{Full: true}
			for i := range nodes {
				directory.Entries = append(directory.Entries, blassign.Entry{Node: host(fmt.Sprintf("node_%d", i))})
			}
			sent, _ := n.tick(2 * time.Second)
			n.send(blmember.HeartbeatAnswered{SentAt: sent.SentAt, From: sent.To, Reply: blassign.HeartbeatReply{Term: 3, Directory: &directory}})
			for {
				n.now = n.now.Add(50 * time.Millisecond)
				n.send(blmember.Tick{})
				if n.state.LeadOverdue(n.now) {
					t.Fatalf("lead overdue %v after its answer: got true, want false", n.now.Sub(sent.SentAt))
				}
				if len(n.effects) > 0 {
					break
				}
			}
			n.now = n.now.Add(2 * time.Second)
			if !n.state.LeadOverdue(n.now) {
				t.Error("lead overdue without an answer: got false, want true")
			}
		})
	}
}
