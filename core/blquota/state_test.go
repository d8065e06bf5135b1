package blquota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blquota"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	rate  = 100
	burst = 40
	// overdraft is the number of tokens that a lead may lend while tokens of an
	// earlier term may still be in use.
	overdraft = 20
)

func ExampleBucket_WithLoan() {
	bucket := blquota.NewBucket(blconfig.Account{Rate: 10, Burst: 5}, 0).WithTime(bltimer.Instant(time.Second))
	bucket, tokens := bucket.WithLoan("node", 3, bltimer.Instant(2*time.Second))
	fmt.Println(tokens, bucket.Level(), bucket.Outstanding())
	// Output: 3 2 3
}

func lead(settledAt bltimer.Instant) blquota.State {
	state := blquota.New()
	state, _ = blquota.Decide(state, blquota.AuthorityChanged{Authority: bllead.Authority{
		Term: 1, Until: bltimer.Instant(time.Hour), PriorExpiredAt: settledAt.Add(-blconfig.DefaultLoanTTL),
	}}, 0)
	state, _ = blquota.Decide(state, blquota.ConfigSeen{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Accounts: map[blvalue.AccountName]blconfig.Account{"kiosk": {Name: "kiosk", Rate: rate, Burst: burst}},
		Timing:   blconfig.Timing{LoanTTL: blconfig.DefaultLoanTTL},
	}}}, 0)
	return state
}

func borrow(state blquota.State, node string, need blquota.Need, now time.Duration) (blquota.State, blquota.BorrowAnswer) {
	need.Account = "kiosk"
	state, effects := blquota.Decide(state, blquota.Borrow{
		Node: blvalue.Incarnation(node), Needs: []blquota.Need{need},
	}, bltimer.Instant(now))
	return state, effects[0].Answer
}

func TestLoanLimits(t *testing.T) {
	cases := []struct {
		name  string
		steps func(state blquota.State) (blquota.State, blquota.BorrowAnswer)
		want  int64
	}{
		{"bucket of a new lead is empty", func(s blquota.State) (blquota.State, blquota.BorrowAnswer) {
			return borrow(s, "a", blquota.Need{Wanted: 10}, 0)
		}, 0},
		{"loan limited to the burst", func(s blquota.State) (blquota.State, blquota.BorrowAnswer) {
			return borrow(s, "a", blquota.Need{Wanted: 1000}, 10*time.Second)
		}, burst},
		{"loans to other nodes count against the burst", func(s blquota.State) (blquota.State, blquota.BorrowAnswer) {
			s, _ = borrow(s, "a", blquota.Need{Wanted: burst}, 10*time.Second)
			return borrow(s, "b", blquota.Need{Wanted: 10}, 10*time.Second+300*time.Millisecond)
		}, 0},
		{"expired loan counts as spent", func(s blquota.State) (blquota.State, blquota.BorrowAnswer) {
			s, _ = borrow(s, "a", blquota.Need{Wanted: burst}, 10*time.Second)
			s, _ = borrow(s, "b", blquota.Need{}, 11*time.Second)
			return borrow(s, "b", blquota.Need{Wanted: 10}, 11*time.Second+50*time.Millisecond)
		}, 10},
		{"expired loan may have been spent just before its expiry", func(s blquota.State) (blquota.State, blquota.BorrowAnswer) {
			s, _ = borrow(s, "a", blquota.Need{Wanted: burst}, 10*time.Second)
			return borrow(s, "b", blquota.Need{Wanted: 10}, 10*time.Second+blconfig.DefaultLoanTTL+20*time.Millisecond)
		}, 2},
		{"reported tokens may have been spent just before the report", func(s blquota.State) (blquota.State, blquota.BorrowAnswer) {
			s, _ = borrow(s, "a", blquota.Need{Wanted: burst}, 10*time.Second)
			return borrow(s, "a", blquota.Need{Spent: burst, Wanted: 10}, 10*time.Second+300*time.Millisecond)
		}, 0},
		{"spent tokens free capacity", func(s blquota.State) (blquota.State, blquota.BorrowAnswer) {
			s, _ = borrow(s, "a", blquota.Need{Wanted: burst}, 10*time.Second)
			s, _ = borrow(s, "a", blquota.Need{Spent: burst}, 10*time.Second+100*time.Millisecond)
			return borrow(s, "b", blquota.Need{Wanted: 10}, 10*time.Second+200*time.Millisecond)
		}, 10},
		{"returned tokens can be lent again", func(s blquota.State) (blquota.State, blquota.BorrowAnswer) {
			s, _ = borrow(s, "a", blquota.Need{Wanted: burst}, 10*time.Second)
			s, _ = borrow(s, "a", blquota.Need{Returned: 7}, 10*time.Second)
			return borrow(s, "b", blquota.Need{Wanted: 10}, 10*time.Second)
		}, 7},
		{"node cannot return tokens that it was not lent", func(s blquota.State) (blquota.State, blquota.BorrowAnswer) {
			s, _ = borrow(s, "a", blquota.Need{Wanted: burst}, 10*time.Second)
			s, _ = borrow(s, "b", blquota.Need{Returned: 30}, 10*time.Second)
			return borrow(s, "b", blquota.Need{Wanted: 10}, 10*time.Second)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, answer := c.steps(lead(0))
			if got := answer.Loans[0].Tokens; got != c.want {
				t.Errorf("tokens lent: got %d, want %d", got, c.want)
			}
		})
	}
}

func TestNoLoansBeforeEarlierLoansExpired(t *testing.T) {
	state := lead(bltimer.Instant(10 * time.Second))
	state, answer := borrow(state, "a", blquota.Need{Wanted: 1}, 9*time.Second)
	if answer.Term != 0 {
		t.Errorf("term before the lead settled: got %d, want 0", answer.Term)
	}
	_, answer = borrow(state, "a", blquota.Need{Wanted: burst}, 10*time.Second+100*time.Millisecond)
	if got, want := answer.Loans[0].Tokens, int64(10); got != want {
		t.Errorf("tokens lent 100 ms after the lead settled: got %d, want %d", got, want)
	}
}

// TestRateAndBurstHoldInEveryWindow has nodes borrow and spend at random while
// some answers of the lead are lost, and checks the tokens spent in every time
// window against rate and burst.
func TestRateAndBurstHoldInEveryWindow(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 7))
		state := lead(0)
		held := [4]int64{}
		until := [4]time.Duration{}
		var spentAt []time.Duration
		for now := time.Duration(0); now < 6*time.Second; now += time.Duration(1+random.IntN(120)) * time.Millisecond {
			i := random.IntN(len(held))
			if now >= until[i] {
				held[i] = 0
			}
			spent := min(held[i], int64(random.IntN(12)))
			for range spent {
				spentAt = append(spentAt, now)
			}
			held[i] -= spent
			var answer blquota.BorrowAnswer
			state, answer = borrow(state, fmt.Sprint(i), blquota.Need{Spent: spent, Wanted: int64(random.IntN(20))}, now)
			if random.IntN(5) == 0 {
				continue
			}
			if answer.Loans[0].Tokens > 0 {
				held[i] += answer.Loans[0].Tokens
				until[i] = now + blconfig.DefaultLoanTTL
			}
		}
		for i := range spentAt {
			for j := i; j < len(spentAt); j++ {
				allowed := burst + rate*(spentAt[j]-spentAt[i]).Seconds()
				if got := float64(j - i + 1); got > allowed+1e-6 {
					t.Fatalf("seed %d: got %v tokens spent from %v to %v, want at most %v", seed, got, spentAt[i], spentAt[j], allowed)
				}
			}
		}
		if len(spentAt) == 0 {
			t.Errorf("seed %d: got 0 tokens spent, want at least 1", seed)
		}
	}
}

// settlingLead returns a lead that took over at priorExpiredAt and may lend its
// overdraft while the loans of an earlier lead last.
func settlingLead(priorExpiredAt bltimer.Instant) blquota.State {
	state, _ := blquota.Decide(blquota.New(), blquota.AuthorityChanged{Authority: bllead.Authority{
		Term: 2, Until: bltimer.Instant(time.Hour), PriorExpiredAt: priorExpiredAt,
	}}, priorExpiredAt)
	state, _ = blquota.Decide(state, blquota.ConfigSeen{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Accounts: map[blvalue.AccountName]blconfig.Account{"kiosk": {Name: "kiosk", Rate: rate, Burst: burst, Overdraft: overdraft}},
		Timing:   blconfig.Timing{LoanTTL: blconfig.DefaultLoanTTL},
	}}}, priorExpiredAt)
	return state
}

// TestNewLeadLendsAtTheRateImmediately checks that a new lead lends at the full
// rate from the start. Otherwise, after a restart of the whole fleet, callers
// within their rate would be refused until the loan TTL has passed.
func TestNewLeadLendsAtTheRateImmediately(t *testing.T) {
	state := settlingLead(0)
	lent := int64(0)
	for now := 50 * time.Millisecond; now <= blconfig.DefaultLoanTTL; now += 50 * time.Millisecond {
		var answer blquota.BorrowAnswer
		state, answer = borrow(state, "a", blquota.Need{Spent: 5, Wanted: 5}, now)
		if answer.Term == 0 {
			t.Fatalf("term at %v: got 0, want 2", now)
		}
		lent += answer.Loans[0].Tokens
	}
	if got, want := lent, int64(rate*blconfig.DefaultLoanTTL.Seconds()); got != want {
		t.Errorf("tokens lent while earlier loans last: got %d, want %d", got, want)
	}
}

// TestEarlierLoansAndNewLeadStayWithinOverdraft has nodes spend the whole burst on
// loan from an earlier lead at random times, to include the worst one, while
// others borrow all that the new lead has. Together they must not exceed rate,
// burst and overdraft.
func TestEarlierLoansAndNewLeadStayWithinOverdraft(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 11))
		state := settlingLead(0)
		earlier := int64(burst)
		var spentAt []time.Duration
		for now := time.Duration(0); now < 3*blconfig.DefaultLoanTTL; now += time.Duration(1+random.IntN(90)) * time.Millisecond {
			if now >= blconfig.DefaultLoanTTL {
				earlier = 0
			}
			spent := min(earlier, int64(random.IntN(burst)))
			earlier -= spent
			var answer blquota.BorrowAnswer
			state, answer = borrow(state, fmt.Sprint(random.IntN(4)), blquota.Need{Spent: burst, Wanted: burst}, now)
			for range spent + answer.Loans[0].Tokens {
				spentAt = append(spentAt, now)
			}
		}
		for i := range spentAt {
			for j := i; j < len(spentAt); j++ {
				allowed := burst + overdraft + rate*(spentAt[j]-spentAt[i]).Seconds()
				if got := float64(j - i + 1); got > allowed+1e-6 {
					t.Fatalf("seed %d: got %v tokens spent from %v to %v, want at most %v", seed, got, spentAt[i], spentAt[j], allowed)
				}
			}
		}
	}
}
