package blroute

// budgetReserve is how much extra work may be saved up, in requests.
const budgetReserve = 20

const percent = 100

// Budget bounds extra work to a share of the requests. It is immutable.
type Budget struct {
	// hundredths is what is left, in hundredths of a request.
	hundredths int64
	// reserve is how much extra work may be saved up, in requests.
	reserve int64
}

// NewBudget returns a budget with its reserve full.
func NewBudget() Budget {
	return Budget{hundredths: budgetReserve * percent, reserve: budgetReserve}
}

// WithRequest returns the budget after one more request, of which share
// percent may be extra work.
func (b Budget) WithRequest(share int64) Budget {
	b.hundredths = min(b.hundredths+share, b.reserve*percent)
	return b
}

// WithReserve returns the budget with another reserve. Zero leaves it.
func (b Budget) WithReserve(reserve int64) Budget {
	if reserve > 0 {
		b.reserve = reserve
		b.hundredths = min(b.hundredths, reserve*percent)
	}
	return b
}

// WithExtra returns the budget after one piece of extra work, and whether it
// allowed it.
func (b Budget) WithExtra() (Budget, bool) {
	if b.hundredths < percent {
		return b, false
	}
	b.hundredths -= percent
	return b, true
}
