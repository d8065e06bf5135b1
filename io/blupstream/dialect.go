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

// TurnedAway is the reason why an upstream rejected a request without running it.
type TurnedAway string

// Values of TurnedAway.
const (
	// TurnedAwayNot means that the request was not rejected: the upstream may
	// have run it.
	TurnedAwayNot TurnedAway = ""
	// TurnedAwayShed means that the upstream is overloaded.
	TurnedAwayShed TurnedAway = "shed"
	// TurnedAwayGrant means that the upstream holds no grant for the key, or is
	// not the upstream that the request was meant for.
	TurnedAwayGrant TurnedAway = "grant"
)

// Dialect is the protocol between the node and its upstreams.
type Dialect interface {
	// Prepare sets the protocol's own fields in the header of a request. The
	// request runs under permit and is meant for the given incarnation of the
	// upstream; left is the time until its deadline, or zero if it has none.
	Prepare(
		request *http.Request, order bldeliver.Order, permit blgrant.Permit, incarnation blvalue.Incarnation, left time.Duration,
	)
	// TurnedAway returns whether and why the upstream rejected the request
	// without running it.
	TurnedAway(response *http.Response) TurnedAway
	// Answered returns the header fields of a response to forward to the caller.
	Answered(header http.Header) map[string][]string
}

// Own implements Dialect for the native protocol.
type Own struct{}

// Prepare implements Dialect.
func (Own) Prepare(
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

// TurnedAway implements Dialect.
func (Own) TurnedAway(response *http.Response) TurnedAway {
	switch response.Header.Get(blheader.NotRun) {
	case "":
		return TurnedAwayNot
	case blheader.NotRunFence:
		return TurnedAwayGrant
	}
	return TurnedAwayShed
}

// Answered implements Dialect.
func (Own) Answered(header http.Header) map[string][]string {
	return blheader.Answered(header)
}

// refusal returns the refusal sent to the caller for a request that the upstream
// rejected, and the result reported to the delivery duty.
func (t TurnedAway) refusal() (*blvalue.Refusal, bldeliver.Result) {
	if t == TurnedAwayGrant {
		return blvalue.NotRun(blvalue.ReasonNotOwner, "the upstream takes no orders on this grant"), bldeliver.ResultUnused
	}
	return blvalue.NotRun(blvalue.ReasonOverload, "the upstream has too much to do"), bldeliver.ResultShed
}
