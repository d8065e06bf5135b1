package bllead

import (
	"strconv"
	"strings"

	"bergamotlead/core/blvalue"
)

// Claim identifies one attempt to acquire the lead lease. It is stored in the
// lease's key.
type Claim string

// claimSeparator separates the incarnation from the number of its attempt.
const claimSeparator = "#"

func newClaim(holder blvalue.Incarnation, number uint64) Claim {
	return Claim(string(holder) + claimSeparator + strconv.FormatUint(number, 10))
}

// Holder returns the incarnation that made the claim.
func (c Claim) Holder() blvalue.Incarnation {
	holder, _, _ := strings.Cut(string(c), claimSeparator)
	return blvalue.Incarnation(holder)
}
