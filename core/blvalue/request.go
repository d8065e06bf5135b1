package blvalue

import "time"

// Request is what decisions know of a caller's request.
type Request struct {
	Service ServiceName
	Key     Key
	// Host is the authority that the caller named, where routes go by it.
	Host string
	// Shard is the caller's place in the key space of a ranged service, or zero.
	Shard  uint16
	Method string
	// KeyDigest is the SHA-256 digest of the client key, in hexadecimal, or
	// empty when the caller gave none.
	KeyDigest string
	// Timeout is how long the caller waits for the whole answer.
	Timeout time.Duration
}

// WithService returns the request for another service.
func (r Request) WithService(service ServiceName) Request {
	r.Service = service
	return r
}

// Outcome tells a caller what became of a request that no upstream answered.
type Outcome string

// The outcomes that a caller can be told.
const (
	// OutcomeNotRun means that no upstream began the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that an upstream may have run the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomePartial means that the upstream's answer was cut short.
	OutcomePartial Outcome = "ran_partially_answered"
)

// RefusalReason is why a request was not answered by an upstream.
type RefusalReason string

// The reasons for a refusal.
const (
	ReasonMalformed     RefusalReason = "malformed_request"
	ReasonUnknownRoute  RefusalReason = "unknown_route"
	ReasonUnknownKey    RefusalReason = "unknown_client_key"
	ReasonOverRate      RefusalReason = "over_rate"
	ReasonStale         RefusalReason = "no_fresh_configuration"
	ReasonNoOwner       RefusalReason = "no_owner"
	ReasonNotOwner      RefusalReason = "not_owner"
	ReasonNoUpstream    RefusalReason = "no_upstream"
	ReasonOverload      RefusalReason = "overload"
	ReasonLeaving       RefusalReason = "leaving"
	ReasonUnreachable   RefusalReason = "owner_unreachable"
	ReasonUpstreamBroke RefusalReason = "upstream_broke"
	ReasonTimeout       RefusalReason = "timeout"
	ReasonCancelled     RefusalReason = "cancelled"
	ReasonGrantLapsed   RefusalReason = "grant_lapsed"
)

// Refusal is the answer to a request that no upstream answered.
type Refusal struct {
	Outcome Outcome
	Reason  RefusalReason
	// Detail is a sentence for the caller.
	Detail string
}

// NotRun returns a refusal for a request that no upstream began.
func NotRun(reason RefusalReason, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, Detail: detail}
}

// Unknown returns a refusal for a request that an upstream may have run.
func Unknown(reason RefusalReason, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, Detail: detail}
}

// String returns the refusal as text.
func (r *Refusal) String() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Detail
}
