package bladmit_test

import (
	"testing"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// fleetSize is the number of nodes of a fleet in which accounts have delegates.
const fleetSize = 24

// domainsOf is the number of failure domains of that fleet.
const domainsOf = 3

// fleetHosts returns the nodes of a fleet, the first of which is the node itself.
func fleetHosts() []blvalue.Host {
	list := hosts(fleetSize)
	for i := range list {
		list[i].Domain = blvalue.DomainName([]string{"a", "b", "c"}[i%domainsOf])
	}
	return list
}

// asks returns the latest requests to delegates.
func (n *node) asks() []bladmit.AskDelegate {
	var list []bladmit.AskDelegate
	for _, effect := range n.effects {
		if ask, ok := effect.(bladmit.AskDelegate); ok {
			list = append(list, ask)
		}
	}
	return list
}

// newFleetNode returns a node that is not the delegate of the account.
func newFleetNode(t *testing.T) *node {
	t.Helper()
	n := newNode()
	n.send(bladmit.NodesChanged{Nodes: fleetHosts()})
	return n
}

// ask admits a request and returns the request to the delegate that it causes.
func (n *node) ask(t *testing.T) bladmit.AskDelegate {
	t.Helper()
	n.admit("pot", "POST", "contributions", "digest")
	asks := n.asks()
	if len(asks) != 1 {
		t.Fatalf("requests to delegates: got %d, want 1", len(asks))
	}
	return asks[0]
}

func TestDelegateAnswers(t *testing.T) {
	cases := []struct {
		name     string
		answer   bladmit.SpendAnswer
		failed   bool
		admitted int
		refused  int
		asked    int
	}{
		{"a token", bladmit.SpendAnswer{Tokens: 1}, false, 1, 0, 0},
		{"over the rate", bladmit.SpendAnswer{RetryAfter: time.Second}, false, 0, 1, 0},
		{"no lead in time", bladmit.SpendAnswer{TimedOut: true}, false, 0, 0, 0},
		{"no answer", bladmit.SpendAnswer{}, true, 0, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newFleetNode(t)
			ask := n.ask(t)
			n.now = n.now.Add(10 * time.Millisecond)
			n.send(bladmit.DelegateAnswered{Account: ask.Account, Delegate: ask.Delegate, Answer: c.answer, Failed: c.failed})
			if got := n.admitted(); got != c.admitted {
				t.Errorf("admitted requests: got %d, want %d", got, c.admitted)
			}
			if got := len(n.refusals()); got != c.refused {
				t.Errorf("refused requests: got %d, want %d", got, c.refused)
			}
			if got := len(n.asks()); got != c.asked {
				t.Errorf("requests to delegates: got %d, want %d", got, c.asked)
			}
		})
	}
}

func TestUnreachableDelegateIsReplaced(t *testing.T) {
	n := newFleetNode(t)
	first := n.ask(t)
	n.send(bladmit.DelegateAnswered{Account: first.Account, Delegate: first.Delegate, Failed: true})
	second := n.asks()[0]
	if second.Delegate.Name == first.Delegate.Name {
		t.Errorf("delegate after %s didn't answer: got the same, want another", first.Delegate.Name)
	}
	n.send(bladmit.DelegateAnswered{Account: second.Account, Delegate: second.Delegate, Answer: bladmit.SpendAnswer{Tokens: 1}})
	n.now = n.now.Add(3 * time.Second)
	n.send(bladmit.LeadResponded{SentAt: n.now})
	if got, want := n.ask(t).Delegate.Name, first.Delegate.Name; got != want {
		t.Errorf("delegate some seconds later: got %s, want %s", got, want)
	}
}

// TestLostAnswerOfDelegateIsNotAwaitedForEver guards against an account that gets no
// more tokens at a node because the answer of its delegate was lost.
func TestLostAnswerOfDelegateIsNotAwaitedForEver(t *testing.T) {
	n := newFleetNode(t)
	n.ask(t)
	n.now = n.now.Add(2 * time.Second)
	n.send(bladmit.Tick{})
	n.send(bladmit.LeadResponded{SentAt: n.now})
	n.ask(t)
}

func TestTimedOutRequestIsAnsweredWhileOthersAreIdle(t *testing.T) {
	n := newFleetNode(t)
	ask := n.ask(t)
	n.send(bladmit.DelegateAnswered{Account: ask.Account, Delegate: ask.Delegate, Answer: bladmit.SpendAnswer{TimedOut: true}})
	if !n.state.Busy(n.now) {
		t.Error("busy with a waiting request: got false, want true")
	}
	n.now = n.now.Add(3 * time.Second)
	n.send(bladmit.Tick{})
	if got, want := len(n.refusals()), 1; got != want {
		t.Errorf("refused requests after their wait: got %d, want %d", got, want)
	}
}

// spend sends the request of a node of failure domain a for tokens.
func (n *node) spend(tokens int64) {
	n.send(bladmit.Spend{
		Account: "kiosk", Tokens: tokens, Domain: "a", Wait: 100 * time.Millisecond,
		Reply: blring.NewReply[bladmit.SpendAnswer](),
	})
}

// answers returns the latest answers to the requests of other nodes.
func (n *node) answers() []bladmit.SpendAnswer {
	var list []bladmit.SpendAnswer
	for _, effect := range n.effects {
		if answer, ok := effect.(bladmit.AnswerSpend); ok {
			list = append(list, answer.Answer)
		}
	}
	return list
}

func TestDelegateBorrowsForOtherNodes(t *testing.T) {
	cases := []struct {
		name string
		lent int64
		want bladmit.SpendAnswer
	}{
		{"all", 3, bladmit.SpendAnswer{Tokens: 3}},
		{"more", 9, bladmit.SpendAnswer{Tokens: 3}},
		{"some", 2, bladmit.SpendAnswer{Tokens: 2, RetryAfter: time.Second}},
		{"none", 0, bladmit.SpendAnswer{RetryAfter: time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newFleetNode(t)
			n.spend(3)
			if got := len(n.answers()); got != 0 {
				t.Fatalf("answers before the lead's: got %d, want 0", got)
			}
			loan := blquota.Loan{Account: "kiosk", Tokens: c.lent}
			if c.lent < 3 {
				loan.RetryAfter = time.Second
			}
			n.send(bladmit.BorrowCompleted{SentAt: n.now, Term: 1, Loans: []blquota.Loan{loan}})
			got := n.answers()
			if len(got) != 1 || got[0] != c.want {
				t.Errorf("answers: got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestNodeThatCannotBeDelegateSaysSo(t *testing.T) {
	cases := []struct {
		name   string
		before func(n *node)
		tokens int64
	}{
		{"leaving", func(n *node) { n.send(bladmit.Leave{}) }, 1},
		{"configuration not fresh", func(n *node) { n.now = n.now.Add(time.Minute) }, 1},
		{"account unknown", func(n *node) {
			n.send(bladmit.ConfigChanged{Accepted: blconfig.Accepted{Revision: 2, Plan: blconfig.Plan{Timing: blconfig.Timing{Freshness: time.Hour}}}})
		}, 1},
		{"more tokens than a node can need", func(*node) {}, 1 << 60},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newFleetNode(t)
			c.before(n)
			n.spend(c.tokens)
			got := n.answers()
			if len(got) != 1 || !got[0].Unavailable {
				t.Errorf("answers: got %+v, want one that it is unavailable", got)
			}
		})
	}
}

// TestDelegateCutOffWithItsDomainAdmitsOnlyThatShare guards against a delegate that
// admits an account's whole rate on its side of a partition, while a lead lends the
// rate on the other side.
func TestDelegateCutOffWithItsDomainAdmitsOnlyThatShare(t *testing.T) {
	const length = 2 * time.Second
	n := newNode()
	n.send(bladmit.NodesChanged{Nodes: delegateFirst()})
	spent := int64(0)
	for end := n.now.Add(length); n.now.Before(end); n.now = n.now.Add(10 * time.Millisecond) {
		n.send(bladmit.BorrowCompleted{SentAt: n.now, Failed: true})
		n.spend(1)
		for _, answer := range n.answers() {
			spent += answer.Tokens
		}
		n.send(bladmit.Tick{})
		for _, answer := range n.answers() {
			spent += answer.Tokens
		}
	}
	// The account's rate is 10 requests per second, and a bucket holds two tokens
	// when it is new.
	const rate, bucket = 10, 2
	if most := int64(rate*length.Seconds()/domainsOf) + bucket; spent > most || spent == 0 {
		t.Errorf("tokens spent for one of %d domains: got %d, want 1 to %d", domainsOf, spent, most)
	}
}

// delegateFirst returns the nodes of a fleet in which the node itself is the delegate
// of the account: the others, without the one that would be.
func delegateFirst() []blvalue.Host {
	list := fleetHosts()
	for {
		n := newNode()
		n.send(bladmit.NodesChanged{Nodes: list})
		n.admit("pot", "POST", "contributions", "digest")
		asks := n.asks()
		if len(asks) == 0 {
			return list
		}
		for i, host := range list {
			if host.Name == asks[0].Delegate.Name {
				list[i].Name += "_other"
			}
		}
	}
}
