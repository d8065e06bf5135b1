package bladmit_test

import (
	"testing"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

func accepted(revision uint64, digest string) blconfig.Accepted {
	return blconfig.Accepted{Revision: revision, Plan: blconfig.Plan{
		Accounts: map[blvalue.AccountName]blconfig.Account{
			"kiosk": {Name: "kiosk", Rate: 10, Burst: 5, Services: []blvalue.ServiceName{"pot"}},
		},
		Digests: map[string]blvalue.AccountName{digest: "kiosk"},
		Routes: []blconfig.Route{
			{Service: "pot", Method: "POST", Path: "contributions"},
			{Service: "wishlist", Method: "GET", Path: blconfig.AnyPath},
			{Service: "wishlist", Method: "GET", Path: "hours", Open: true},
		},
		Timing: blconfig.Timing{
			Freshness: 2 * time.Second, LoanTTL: blconfig.DefaultLoanTTL, LoanLookahead: blconfig.DefaultLoanLookahead,
		},
	}}
}

// node runs the decisions of an admission duty and records the latest effects.
type node struct {
	state   bladmit.State
	now     bltimer.Instant
	effects []bladmit.Effect
}

func newNode() *node {
	n := &node{state: bladmit.New(blvalue.Host{Name: "self", Incarnation: "self-1"}).WithFallback(), now: bltimer.Instant(time.Minute)}
	n.send(bladmit.ConfigChanged{Accepted: accepted(1, "digest")})
	n.send(bladmit.LeadResponded{SentAt: n.now})
	return n
}

func (n *node) send(message bladmit.Message) {
	n.state, n.effects = bladmit.Decide(n.state, message, n.now)
}

func (n *node) admit(service, method, path, digest string) {
	n.send(bladmit.Admit{
		Request: blvalue.Request{
			Service: blvalue.ServiceName(service), Method: method, Key: "awa", KeyDigest: digest, Timeout: time.Second,
		},
		Path: path, Reply: blring.NewReply[blroute.Answer](),
	})
}

func (n *node) admitted() int {
	count := 0
	for _, effect := range n.effects {
		if _, ok := effect.(bladmit.FindTarget); ok {
			count++
		}
	}
	return count
}

func (n *node) refusals() []blvalue.RefusalReason {
	var reasons []blvalue.RefusalReason
	for _, effect := range n.effects {
		if refuse, ok := effect.(bladmit.Refuse); ok {
			reasons = append(reasons, refuse.Refusal.Reason)
		}
	}
	return reasons
}

func (n *node) lend(tokens int64) {
	n.send(bladmit.BorrowCompleted{SentAt: n.now, Term: 1, Loans: []blquota.Loan{{Account: "kiosk", Tokens: tokens}}})
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name                          string
		before                        func(n *node)
		service, method, path, digest string
		want                          blvalue.RefusalReason
	}{
		{"unknown key", nil, "pot", "POST", "contributions", "other", blvalue.ReasonUnknownKey},
		{"no key", nil, "pot", "POST", "contributions", "", blvalue.ReasonUnknownKey},
		{"service not allowed for the account", nil, "wishlist", "GET", "page", "digest", blvalue.ReasonUnknownKey},
		{"no route", nil, "pot", "DELETE", "contributions", "digest", blvalue.ReasonUnknownRoute},
		{"unknown key on an open route", nil, "wishlist", "GET", "hours", "other", blvalue.ReasonUnknownKey},
		{"leaving", func(n *node) { n.send(bladmit.Leave{}) }, "pot", "POST", "contributions", "digest", blvalue.ReasonLeaving},
		{"configuration not fresh", func(n *node) { n.now = n.now.Add(2*time.Second + 1) }, "pot", "POST", "contributions", "digest", blvalue.ReasonStale},
		{"withdrawn key", func(n *node) {
			n.send(bladmit.ConfigChanged{Accepted: accepted(2, "new")})
		}, "pot", "POST", "contributions", "digest", blvalue.ReasonUnknownKey},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode()
			if c.before != nil {
				c.before(n)
			}
			n.admit(c.service, c.method, c.path, c.digest)
			got := n.refusals()
			if len(got) != 1 || got[0] != c.want {
				t.Errorf("refusals: got %v, want %v", got, c.want)
			}
		})
	}
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	n := newNode()
	n.admit("wishlist", "GET", "hours", "")
	if got, want := n.admitted(), 1; got != want {
		t.Errorf("admitted requests: got %d, want %d", got, want)
	}
}

func TestRequestWaitsForLoan(t *testing.T) {
	n := newNode()
	n.admit("pot", "POST", "contributions", "digest")
	if got := n.admitted() + len(n.refusals()); got != 0 {
		t.Fatalf("answers before the loan: got %d, want 0", got)
	}
	n.now = n.now.Add(5 * time.Millisecond)
	n.lend(1)
	if got, want := n.admitted(), 1; got != want {
		t.Errorf("requests admitted after a loan of one token: got %d, want %d", got, want)
	}
}

func TestRequestWithoutLoanIsRefusedAsOverRate(t *testing.T) {
	n := newNode()
	n.admit("pot", "POST", "contributions", "digest")
	n.now = n.now.Add(5 * time.Millisecond)
	n.lend(0)
	got := n.refusals()
	if len(got) != 1 || got[0] != blvalue.ReasonRateLimited {
		t.Errorf("refusals: got %v, want %v", got, blvalue.ReasonRateLimited)
	}
}

func TestTokensExpireAndEndWithTheTerm(t *testing.T) {
	n := newNode()
	n.lend(3)
	n.now = n.now.Add(blconfig.DefaultLoanTTL)
	n.admit("pot", "POST", "contributions", "digest")
	if got := n.admitted(); got != 0 {
		t.Errorf("requests admitted on expired tokens: got %d, want 0", got)
	}
	n = newNode()
	n.lend(3)
	n.send(bladmit.BorrowCompleted{SentAt: n.now, Term: 2, Loans: []blquota.Loan{{Account: "kiosk"}}})
	n.admit("pot", "POST", "contributions", "digest")
	if got := n.admitted(); got != 0 {
		t.Errorf("requests admitted on tokens of an earlier term: got %d, want 0", got)
	}
}

func TestWaitingRequestOfWithdrawnKeyIsRefused(t *testing.T) {
	n := newNode()
	n.admit("pot", "POST", "contributions", "digest")
	n.send(bladmit.ConfigChanged{Accepted: accepted(2, "new")})
	got := n.refusals()
	if len(got) != 1 || got[0] != blvalue.ReasonUnknownKey {
		t.Errorf("refusals: got %v, want %v", got, blvalue.ReasonUnknownKey)
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	n := newNode()
	n.send(bladmit.ConfigChanged{Accepted: accepted(5, "new")})
	n.send(bladmit.ConfigChanged{Accepted: accepted(4, "digest")})
	if got, want := n.state.Config().Revision, uint64(5); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}

// TestEarlierVersionOfARestoredStoreIsIgnored guards against a node that goes back to
// an earlier version of the configuration because its revision is later.
func TestEarlierVersionOfARestoredStoreIsIgnored(t *testing.T) {
	n := newNode()
	n.send(bladmit.ConfigChanged{Accepted: accepted(5, "new").WithVersion(14)})
	n.send(bladmit.ConfigChanged{Accepted: accepted(9, "digest").WithVersion(11)})
	if got := n.state.Config().Version; got != 14 {
		t.Errorf("version: got %d, want 14", got)
	}
	n.send(bladmit.ConfigChanged{Accepted: accepted(4, "digest").WithVersion(15)})
	if got := n.state.Config().Version; got != 15 {
		t.Errorf("version after a later one: got %d, want 15", got)
	}
}
