package bladmit_test

import (
	"testing"
	"time"

	"bergamotlead/core/bladmit"
)

// spendAlone lets a node with the given number of nodes spend as much as it may
// for a while in which no lead lends.
func spendAlone(nodes int, length time.Duration) int {
	n := newNode()
	n.send(bladmit.NodesSeen{Count: nodes})
	passed := 0
	for end := n.now.Add(length); n.now.Before(end); n.now = n.now.Add(20 * time.Millisecond) {
		n.send(bladmit.Lent{SentAt: n.now, Failed: true})
		n.send(bladmit.LeadHeard{SentAt: n.now})
		n.admit("pot", "POST", "contributions", "digest")
		passed += n.passed()
		n.send(bladmit.Tick{})
		passed += n.passed()
	}
	return passed
}

func TestNodesShareARateWhileNoLeadLends(t *testing.T) {
	const length = 3 * time.Second
	// The account's rate is 10 a second, and a node may save up one token.
	cases := []struct {
		name        string
		nodes       int
		least, most int
	}{
		{"the number of nodes is unknown", 0, 0, 0},
		{"half of the even share, no lead answers", 2, 4, 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := spendAlone(c.nodes, length); got < c.least || got > c.most {
				t.Errorf("passed: got %d, want %d to %d", got, c.least, c.most)
			}
		})
	}
}
