package blhttp

import (
	"net/http"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
)

// Dialect is how callers speak: what decisions and upstreams need of a request,
// and how callers are told what became of it.
type Dialect interface {
	// Read reads a request within limits.
	Read(r *http.Request, limits Limits) (Call, error)
	// Answer completes the header of an upstream's answer.
	Answer(header http.Header, requestID string)
	// Refuse tells the caller why no upstream answered, and whether one may have
	// run the request.
	Refuse(w http.ResponseWriter, requestID string, refusal *blvalue.Refusal, retryAfter time.Duration)
}

// Answer implements Dialect.
func (Own) Answer(header http.Header, requestID string) {
	header.Set(blheader.RequestID, requestID)
}
