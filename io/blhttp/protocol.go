package blhttp

import (
	"net/http"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
)

// Protocol is the protocol between the node and its callers. It decodes a
// request into what the duties and the upstreams need of it, and it encodes
// responses and refusals.
type Protocol interface {
	// Read decodes a request and enforces the limits on it.
	Read(r *http.Request, limits Limits) (Call, error)
	// SetResponseHeader sets the protocol's own fields in the header of an
	// upstream's response.
	SetResponseHeader(header http.Header, requestID string)
	// Refuse writes the response to a request that no upstream answered. It
	// gives the reason, and whether an upstream may have run the request.
	Refuse(w http.ResponseWriter, requestID string, refusal *blvalue.Refusal, retryAfter time.Duration)
}

// SetResponseHeader implements Protocol.
func (NativeProtocol) SetResponseHeader(header http.Header, requestID string) {
	header.Set(blheader.RequestID, requestID)
}
