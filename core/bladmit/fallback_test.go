package bladmit_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// hosts returns the given number of hosts, the first of which is the node's own.
func hosts(count int) []blvalue.Host {
	list := make([]blvalue.Host, 0, count)
	for i := range count {
		name := "self"
		if i > 0 {
			name = fmt.Sprintf("host_%d", i)
		}
		list = append(list, blvalue.Host{Name: blvalue.HostName(name), Incarnation: blvalue.Incarnation(name + "-1")})
	}
	return list
}

// admitWithoutLead returns how many requests a node, one of the given number of
// nodes, admits during the given time while no lead lends tokens.
// With directories, it receives a new directory five times a second.
func admitWithoutLead(nodes int, length time.Duration, directories bool) int {
	n := newNode()
	n.send(bladmit.NodesChanged{Nodes: hosts(nodes)})
	admitted := 0
	for end := n.now.Add(length); n.now.Before(end); n.now = n.now.Add(20 * time.Millisecond) {
		if directories && n.now%bltimer.Instant(200*time.Millisecond) == 0 {
			n.send(bladmit.NodesChanged{Nodes: hosts(nodes)})
		}
		n.send(bladmit.BorrowCompleted{SentAt: n.now, Failed: true})
		n.send(bladmit.LeadResponded{SentAt: n.now})
		n.admit("pot", "POST", "contributions", "digest")
		admitted += n.admitted()
		n.send(bladmit.Tick{})
		admitted += n.admitted()
	}
	return admitted
}

func TestFallbackRateWhileNoLeadLends(t *testing.T) {
	const length = 3 * time.Second
	// The account's rate is 10 requests per second, and a node may accumulate
	// at least one token.
	cases := []struct {
		name        string
		nodes       int
		directories bool
		least, most int
	}{
		{"the number of nodes is unknown", 0, false, 0, 0},
		{"half of the even share of two nodes", 2, false, 4, 9},
		{"a lead sends directories and lends nothing", 2, true, 4, 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := admitWithoutLead(c.nodes, length, c.directories); got < c.least || got > c.most {
				t.Errorf("admitted requests: got %d, want %d to %d", got, c.least, c.most)
			}
		})
	}
}
