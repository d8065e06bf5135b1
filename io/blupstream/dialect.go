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

// TurnedAway is why an upstream did not run a request.
type TurnedAway string

// The reasons of an upstream.
const (
	// TurnedAwayNot means that the upstream may have run the request.
	TurnedAwayNot TurnedAway = ""
	// TurnedAwayShed means that the upstream has too much to do.
	TurnedAwayShed TurnedAway = "shed"
	// TurnedAwayGrant means that the upstream holds no grant for the key, or is
	// another one than was asked for.
	TurnedAwayGrant TurnedAway = "grant"
)

// Dialect is how upstreams speak.
type Dialect interface {
	// Prepare completes the header of a request to a run of an upstream, which
	// runs under permit and has so much time left.
	Prepare(
		request *http.Request, order bldeliver.Order, permit blgrant.Permit, upstream blvalue.Incarnation, left time.Duration,
	)
	// TurnedAway tells whether the upstream says that it did not run a request.
	TurnedAway(response *http.Response) TurnedAway
	// Answered returns the fields of an answer that the caller gets.
	Answered(header http.Header) map[string][]string
}

// Own is the project's own interface for upstreams.
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

// refusal returns what the caller is told of a request that the upstream did
// not run.
func (t TurnedAway) refusal() (*blvalue.Refusal, bldeliver.Result) {
	if t == TurnedAwayGrant {
		return blvalue.NotRun(blvalue.ReasonNotOwner, "the upstream takes no orders on this grant"), bldeliver.ResultUnused
	}
	return blvalue.NotRun(blvalue.ReasonOverload, "the upstream has too much to do"), bldeliver.ResultShed
}
