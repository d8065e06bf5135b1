package blhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
)

// StatusClientClosedRequest is the non-standard status, known from nginx, of a
// request whose caller closed the connection.
const StatusClientClosedRequest = 499

// problem is the body of a refusal: problem details (RFC 9457) with the outcome,
// the reason and the ID of the request as extension members.
type problem struct {
	Title     string                `json:"title"`
	Status    int                   `json:"status"`
	Detail    string                `json:"detail"`
	Outcome   blvalue.Outcome       `json:"outcome"`
	Reason    blvalue.RefusalReason `json:"reason"`
	RequestID string                `json:"request_id,omitempty"`
}

// Refuse implements Protocol.
func (NativeProtocol) Refuse(w http.ResponseWriter, requestID string, refusal *blvalue.Refusal, retryAfter time.Duration) {
	status := statusOf(refusal.Reason)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(blheader.Outcome, string(refusal.Outcome))
	if requestID != "" {
		header.Set(blheader.RequestID, requestID)
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.Itoa(max(int((retryAfter+time.Second-1)/time.Second), 1)))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{
		Title: http.StatusText(status), Status: status, Detail: refusal.Detail,
		Outcome: refusal.Outcome, Reason: refusal.Reason, RequestID: requestID,
	})
}

func statusOf(reason blvalue.RefusalReason) int {
	switch reason {
	case blvalue.ReasonMalformed:
		return http.StatusBadRequest
	case blvalue.ReasonUnknownKey:
		return http.StatusUnauthorized
	case blvalue.ReasonUnknownRoute:
		return http.StatusNotFound
	case blvalue.ReasonRateLimited:
		return http.StatusTooManyRequests
	case blvalue.ReasonTimeout:
		return http.StatusGatewayTimeout
	case blvalue.ReasonCancelled:
		return StatusClientClosedRequest
	case blvalue.ReasonUpstreamFailed, blvalue.ReasonUnreachable:
		return http.StatusBadGateway
	case blvalue.ReasonStale, blvalue.ReasonNoOwner, blvalue.ReasonNotOwner, blvalue.ReasonNoUpstream,
		blvalue.ReasonOverload, blvalue.ReasonLeaving, blvalue.ReasonGrantExpired, blvalue.ReasonHeldBack:
	}
	return http.StatusServiceUnavailable
}
