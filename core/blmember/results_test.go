package blmember_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blvalue"
)

// newReportingNode returns a node with an order of 12 s for the service pot.
func newReportingNode() *node {
	n := newNode()
	n.send(blmember.ConfigSeen{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Timing:   blconfig.Timing{Heartbeat: 300 * time.Millisecond},
		Rollouts: map[blvalue.ServiceName]blconfig.RolloutOrder{"pot": {Service: "pot", Target: "new", Duration: 12 * time.Second}},
	}}})
	return n
}

func counted(incarnation blvalue.Incarnation, sent uint64, running int, age time.Duration) blvalue.UpstreamResults {
	return blvalue.UpstreamResults{
		Incarnation: incarnation, Service: "pot", Order: 5, OrderAge: age, Sent: sent, Running: running,
		Classes: []blvalue.ClassResults{{Class: "read", Answered: sent}},
	}
}

// report sends a heartbeat with what is to be reported of the current results, and returns
// that. The lead replies with the given term, or not at all if that is zero.
func (n *node) report(term uint64, current ...blvalue.UpstreamResults) []blvalue.UpstreamResults {
	sent, _ := n.tick(time.Second)
	results, reported := sent.Report.Select(current)
	n.send(blmember.HeartbeatAnswered{
		SentAt: sent.SentAt, From: host("lead"), Reply: blassign.HeartbeatReply{Term: term}, Reported: reported, Failed: term == 0,
	})
	return results
}

// TestReportedResults guards against results that a lead never gets, and against bytes for
// those that it knows.
func TestReportedResults(t *testing.T) {
	first := counted("run_1", 3, 1, time.Second)
	cases := []struct {
		name   string
		before func(n *node)
		now    []blvalue.UpstreamResults
		want   int
	}{
		{"none", func(*node) {}, nil, 0},
		{"the first", func(*node) {}, []blvalue.UpstreamResults{first}, 1},
		{"unchanged but for the age", func(n *node) { n.report(3, first) },
			[]blvalue.UpstreamResults{counted("run_1", 3, 1, 2*time.Second)}, 0},
		{"unchanged for a while", func(n *node) { n.report(3, first) },
			[]blvalue.UpstreamResults{counted("run_1", 3, 1, 3*time.Second)}, 1},
		{"one of two changed", func(n *node) { n.report(3, first, counted("run_2", 8, 0, time.Second)) },
			[]blvalue.UpstreamResults{counted("run_1", 4, 1, time.Second), counted("run_2", 8, 0, time.Second)}, 1},
		{"the report was lost", func(n *node) { n.report(3, first); n.report(0, counted("run_1", 4, 1, time.Second)) },
			[]blvalue.UpstreamResults{counted("run_1", 4, 1, time.Second)}, 1},
		{"the lead may be a new one", func(n *node) { n.report(3, first); n.report(0, first) }, []blvalue.UpstreamResults{first}, 1},
		{"a new term", func(n *node) { n.report(3, first); n.report(4, first) }, []blvalue.UpstreamResults{first}, 1},
		{"repeated to the new term", func(n *node) { n.report(3, first); n.report(4, first); n.report(4, first) }, []blvalue.UpstreamResults{first}, 0},
		{"another order", func(n *node) { n.report(3, first) },
			[]blvalue.UpstreamResults{{Incarnation: "run_1", Service: "pot", Order: 6}}, 1},
		{"long after the end, soon after the last", func(n *node) { n.report(3, counted("run_1", 3, 1, 30*time.Second)) },
			[]blvalue.UpstreamResults{counted("run_1", 9, 2, 31*time.Second)}, 0},
		{"long after the end, unchanged for some time", func(n *node) { n.report(3, counted("run_1", 3, 0, 30*time.Second)) },
			[]blvalue.UpstreamResults{counted("run_1", 3, 0, 35*time.Second)}, 1},
		{"long after the end, with the last request answered", func(n *node) { n.report(3, counted("run_1", 3, 1, 30*time.Second)) },
			[]blvalue.UpstreamResults{counted("run_1", 3, 0, 31*time.Second)}, 1},
		{"long after the end, some time after the last", func(n *node) {
			n.report(3, counted("run_1", 3, 1, 30*time.Second))
			n.report(3, counted("run_1", 9, 1, 33*time.Second))
		}, []blvalue.UpstreamResults{counted("run_1", 12, 2, 35*time.Second)}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newReportingNode()
			c.before(n)
			if got := len(n.report(3, c.now...)); got != c.want {
				t.Errorf("results reported: got %d, want %d", got, c.want)
			}
		})
	}
}

// TestAllowancesArePassedOn guards against allowances counted from another time than the
// sending of the heartbeat, and against those of a lead of an earlier term.
func TestAllowancesArePassedOn(t *testing.T) {
	cases := []struct {
		name string
		// late is set for the reply to a heartbeat before the last one.
		late  bool
		reply blassign.HeartbeatReply
		want  int
	}{
		{"none", false, blassign.HeartbeatReply{Term: 3}, 0},
		{"one", false, blassign.HeartbeatReply{Term: 3, Allowances: []blvalue.Allowance{{Incarnation: "run_1"}}}, 1},
		{"of an earlier term", false, blassign.HeartbeatReply{Term: 2, Allowances: []blvalue.Allowance{{Incarnation: "run_1"}}}, 0},
		{"of a node that isn't lead", false, blassign.HeartbeatReply{Allowances: []blvalue.Allowance{{Incarnation: "run_1"}}}, 0},
		{"late", true, blassign.HeartbeatReply{Term: 3, Allowances: []blvalue.Allowance{{Incarnation: "run_1"}}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newReportingNode()
			n.report(3)
			sent, _ := n.tick(time.Second)
			answered := blmember.HeartbeatAnswered{SentAt: sent.SentAt, From: sent.To, Reply: c.reply}
			if c.late {
				answered.SentAt--
			}
			n.now = n.now.Add(100 * time.Millisecond)
			n.send(answered)
			got := 0
			for _, effect := range n.effects {
				if given, ok := effect.(blmember.AllowancesGiven); ok && given.SentAt == sent.SentAt && given.Term == c.reply.Term {
					got += len(given.Allowances)
				}
			}
			if got != c.want {
				t.Errorf("allowances passed on: got %d, want %d", got, c.want)
			}
		})
	}
}
