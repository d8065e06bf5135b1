package blroute

// budgetReserve is the default number of extra attempts that may accumulate.
const budgetReserve = 20

const percent = 100

// Budget limits extra attempts, which are retries and hedges, to a percentage
// of the requests. It is immutable.
type Budget struct {
	// hundredths is the balance, in hundredths of an attempt.
	hundredths int64
	// reserve is the largest balance, in attempts.
	reserve int64
}

// NewBudget returns a budget with a full reserve.
func NewBudget() Budget {
	return Budget{hundredths: budgetReserve * percent, reserve: budgetReserve}
}

// WithRequest returns the budget after one more request, for which share percent
// of an extra attempt is added.
func (b Budget) WithRequest(share int64) Budget {
	b.hundredths = min(b.hundredths+share, b.reserve*percent)
	return b
}

// WithReserve returns the budget with another reserve. Zero keeps the current
// reserve.
func (b Budget) WithReserve(reserve int64) Budget {
	if reserve > 0 {
		b.reserve = reserve
		b.hundredths = min(b.hundredths, reserve*percent)
	}
	return b
}

// WithExtraAttempt returns the budget after one extra attempt and whether the
// attempt is allowed. A refused attempt leaves the budget unchanged.
func (b Budget) WithExtraAttempt() (Budget, bool) {
	if b.hundredths < percent {
		return b, false
	}
	b.hundredths -= percent
	return b, true
}
