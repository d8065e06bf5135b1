package blupstream

import (
	"net/http"
	"strconv"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
)

// Rejection is the reason why an upstream rejected a request without running it.
type Rejection string

// Values of Rejection.
const (
	// RejectionNone means that the request was not rejected: the upstream may
	// have run it.
	RejectionNone Rejection = ""
	// RejectionShed means that the upstream is overloaded.
	RejectionShed Rejection = "shed"
	// RejectionGrant means that the upstream holds no grant for the key, or is
	// not the upstream that the request was meant for.
	RejectionGrant Rejection = "grant"
)

// Protocol is the protocol between the node and its upstreams.
type Protocol interface {
	// Prepare sets the protocol's own fields in the header of a request. The
	// request runs under permit and is meant for the given incarnation of the
	// upstream; left is the time until its deadline, or zero if it has none.
	Prepare(
		request *http.Request, order bldeliver.Order, permit blgrant.Permit, incarnation blvalue.Incarnation, left time.Duration,
	)
	// Rejection returns whether and why the upstream rejected the request
	// without running it.
	Rejection(response *http.Response) Rejection
	// Report returns what the header of a response says of the upstream's load.
	Report(header http.Header) blvalue.UpstreamReport
	// FilterResponse returns the header fields of a response to forward to the
	// caller.
	FilterResponse(header http.Header) map[string][]string
}

// NativeProtocol is the project's own protocol for upstreams.
type NativeProtocol struct{}

// Prepare implements Protocol.
func (NativeProtocol) Prepare(
	request *http.Request, order bldeliver.Order, permit blgrant.Permit, _ blvalue.Incarnation, _ time.Duration,
) {
	request.Header.Set(blheader.RequestID, order.RequestID)
	if order.Account != "" {
		request.Header.Set(blheader.Account, string(order.Account))
	}
	if permit.ID != 0 {
		request.Header.Set(blheader.Fence, permit.Fence.String())
		request.Header.Set(blheader.Partition, strconv.Itoa(int(order.Target.Partition)))
	}
}

// Rejection implements Protocol.
func (NativeProtocol) Rejection(response *http.Response) Rejection {
	switch response.Header.Get(blheader.NotRun) {
	case "":
		return RejectionNone
	case blheader.NotRunFence:
		return RejectionGrant
	}
	return RejectionShed
}

// Report implements Protocol. Upstreams that speak the native protocol report their load in
// announcements only.
func (NativeProtocol) Report(http.Header) blvalue.UpstreamReport { return blvalue.UpstreamReport{} }

// FilterResponse implements Protocol.
func (NativeProtocol) FilterResponse(header http.Header) map[string][]string {
	return blheader.FilterResponse(header)
}

// refusal returns the refusal sent to the caller for a request that the upstream
// rejected, and the result reported to the delivery duty.
func (r Rejection) refusal() (*blvalue.Refusal, bldeliver.Result) {
	if r == RejectionGrant {
		return blvalue.NotRun(blvalue.ReasonNotOwner, "the upstream takes no orders on this grant"), bldeliver.ResultUnused
	}
	return blvalue.NotRun(blvalue.ReasonOverload, "the upstream has too much to do"), bldeliver.ResultShed
}
