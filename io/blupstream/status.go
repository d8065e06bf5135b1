package blupstream

import (
	"fmt"

	"bergamotlead/core/blvalue"
)

// InvalidStatusError reports a response whose status is none that ends a request.
type InvalidStatusError struct {
	Status int
}

// Error implements error.
func (e InvalidStatusError) Error() string {
	return fmt.Sprintf("the upstream answered with the invalid status %03d", e.Status)
}

// invalidStatus returns the refusal of a request that was answered with an invalid status.
// It may have run.
func invalidStatus(status int) *blvalue.Refusal {
	return blvalue.UnknownOutcome(blvalue.ReasonUpstreamFailed, InvalidStatusError{Status: status}.Error())
}
