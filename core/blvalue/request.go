package blvalue

import "time"

// Request holds the properties of a caller's request on which decisions depend.
type Request struct {
	Service ServiceName
	Key     Key
	// Host is the authority of the caller's request, set only where routes match
	// on it.
	Host string
	// Shard is the shard that the caller named in the key space of a
	// range-partitioned service, or zero.
	Shard  uint16
	Method string
	// KeyDigest is the hexadecimal SHA-256 digest of the client key, or empty if
	// the caller sent none.
	KeyDigest string
	// Timeout is the time for which the caller waits for the complete answer.
	Timeout time.Duration
}

// WithService returns a copy of the request that is addressed to service.
func (r Request) WithService(service ServiceName) Request {
	r.Service = service
	return r
}

const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether a response with the status ends its request. Responses of
// faulty upstreams may have any other number, such as 000.
func IsFinalStatus(status int) bool {
	return status >= minFinalStatus && status <= maxFinalStatus
}

// Outcome tells a caller whether a request that was not fully answered may have
// been executed.
type Outcome string

// The outcomes that are reported to callers.
const (
	// OutcomeNotRun means that no upstream started to execute the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that an upstream may have executed the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomePartial means that the upstream's answer was truncated.
	OutcomePartial Outcome = "ran_partially_answered"
)

// RefusalReason is the reason for which no upstream answered a request.
type RefusalReason string

// The refusal reasons that are reported to callers.
const (
	ReasonMalformed      RefusalReason = "malformed_request"
	ReasonUnknownRoute   RefusalReason = "unknown_route"
	ReasonUnknownKey     RefusalReason = "unknown_client_key"
	ReasonRateLimited    RefusalReason = "over_rate"
	ReasonStale          RefusalReason = "no_fresh_configuration"
	ReasonNoOwner        RefusalReason = "no_owner"
	ReasonNotOwner       RefusalReason = "not_owner"
	ReasonNoUpstream     RefusalReason = "no_upstream"
	ReasonOverload       RefusalReason = "overload"
	ReasonLeaving        RefusalReason = "leaving"
	ReasonUnreachable    RefusalReason = "owner_unreachable"
	ReasonUpstreamFailed RefusalReason = "upstream_broke"
	ReasonTimeout        RefusalReason = "timeout"
	ReasonCancelled      RefusalReason = "cancelled"
	ReasonGrantExpired   RefusalReason = "grant_lapsed"
	ReasonHeldBack       RefusalReason = "held_back"
)

// Refusal is the error response to a request that no upstream answered.
type Refusal struct {
	Outcome Outcome
	Reason  RefusalReason
	// Detail is a human-readable explanation for the caller.
	Detail string
}

// NotRun returns a refusal of a request that no upstream started to execute.
func NotRun(reason RefusalReason, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// UnknownOutcome returns a refusal of a request that an upstream may have
// executed.
func UnknownOutcome(reason RefusalReason, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}

// WithOutcome returns the refusal with another outcome.
func (r Refusal) WithOutcome(outcome Outcome) Refusal {
	r.Outcome = outcome
	return r
}

// WithDetail returns the refusal with another detail.
func (r Refusal) WithDetail(detail string) Refusal {
	r.Detail = detail
	return r
}

// String formats the refusal as outcome, reason and detail.
func (r *Refusal) String() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Detail
}
