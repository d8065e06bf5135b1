package blgrpc

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blmemory"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blbudget"
	"bergamotlead/io/blmetric"
)

// serveLimited serves a node with a budget on loopback.
func serveLimited(t testing.TB, node Node, budget *blbudget.Budget) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	server := NewLimitedServer(node, NewHeaderTable(), budget)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func newTestBudget(memoryMB int) *blbudget.Budget {
	return blbudget.New(blmemory.NewLimits(memoryMB, 0), bltimer.NewSystem(), blmetric.New(), hclog.NewNullLogger())
}

// refusingNode refuses orders for /refused without reading their body, and answers others.
type refusingNode struct{ identityNode }

func (refusingNode) Deliver(_ context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	if order.URI == "/refused" {
		return bldeliver.Delivery{Refusal: blvalue.NotRun(blvalue.ReasonOverload, "refused"), Retryable: true}
	}
	if order.Body != nil {
		_, _ = io.Copy(io.Discard, order.Body)
	}
	_ = writer.WriteHeader(200, map[string][]string{"Content-Length": {"0"}})
	return bldeliver.Delivery{Started: true}
}

// discardWriter discards a response.
type discardWriter struct{}

func (discardWriter) WriteHeader(int, map[string][]string) error { return nil }
func (discardWriter) Write(chunk []byte) (int, error)            { return len(chunk), nil }
func (discardWriter) WriteTrailer(map[string][]string) error     { return nil }

func order(address, uri string, body []byte, length int64) bldeliver.Order {
	o := bldeliver.Order{
		Request: blvalue.Request{Method: "POST"}, Target: blroute.Target{Node: blvalue.Host{Address: address}}, URI: uri,
		BodyLength: length, Timeout: time.Second, Header: map[string][]string{"A": {"b"}},
	}
	if body != nil {
		o.Body = bytes.NewReader(body)
	}
	return o
}

// TestOrdinaryCallsTakeNoShares guards against a connection between nodes that is closed
// since what its calls have read, or never read, adds up as if it were held.
func TestOrdinaryCallsTakeNoShares(t *testing.T) {
	const rounds = 300
	budget := newTestBudget(0)
	address := serveLimited(t, refusingNode{}, budget)
	client := newTestClient(t)
	body := bytes.Repeat([]byte("7"), 200<<10)
	for range rounds {
		for _, o := range []bldeliver.Order{
			order(address, "/small", nil, 0), order(address, "/whole", body[:1000], 1000),
			order(address, "/streamed", body, int64(len(body))), order(address, "/refused", body, -1),
		} {
			client.Deliver(t.Context(), o, discardWriter{})
		}
	}
	if got, most := budget.View().Used(blmemory.KindMessage), int64(4*messageStep); got > most {
		t.Errorf("share of messages after %d calls: got %d, want at most %d", 4*rounds, got, most)
	}
	if got := budget.View().Connections(blmemory.ListenerNodes); got != 1 {
		t.Errorf("connections: got %d, want 1", got)
	}
}

// TestOrderWithoutMemoryIsRefused guards against orders with large heads that fill the
// memory of the node that receives them.
func TestOrderWithoutMemoryIsRefused(t *testing.T) {
	budget := newTestBudget(1)
	other := budget.Open(blmemory.ListenerCallers, "other", func() { t.Error("other connection: got closed, want open") })
	other.Enter(blmemory.PhasePassed)
	limits := budget.View().Limits()
	if !other.Reserve(blmemory.KindBody, limits.RequestBytes-limits.MessageBytes) {
		t.Fatal("reserve: got refused, want granted")
	}
	address := serveLimited(t, refusingNode{}, budget)
	large := order(address, "/", nil, 0)
	large.Header = map[string][]string{"A": {strings.Repeat("v", 2*messageStep)}}
	client := newTestClient(t)
	got := client.Deliver(t.Context(), large, discardWriter{})
	if got.Refusal == nil || got.Refusal.Outcome != blvalue.OutcomeNotRun || !got.Retryable {
		t.Errorf("large order: got %+v, want a refusal that lets it run elsewhere", got)
	}
	if got := client.Deliver(t.Context(), order(address, "/", nil, 0), discardWriter{}); got.Refusal != nil {
		t.Errorf("ordinary order: got %+v, want an answer", got.Refusal)
	}
}

// waitingNode doesn't read the body of an order before its time ends.
type waitingNode struct {
	identityNode

	arrived chan struct{}
}

func (n waitingNode) Deliver(ctx context.Context, _ bldeliver.Order, _ bldeliver.ResponseWriter) bldeliver.Delivery {
	n.arrived <- struct{}{}
	<-ctx.Done()
	return bldeliver.Delivery{Refusal: blvalue.NotRun(blvalue.ReasonTimeout, "no slot")}
}

// TestWaitingUploadsAreHeldBack guards against uploads that wait for a slot at another node
// and are kept whole on the way: buffers of 1 MB for each frame of 32 KB, windows, and what
// gRPC keeps to send again held 5 MB for each.
func TestWaitingUploadsAreHeldBack(t *testing.T) {
	const uploads, mostEach = 100, 512 << 10
	node := waitingNode{arrived: make(chan struct{}, uploads)}
	address := serveLimited(t, node, newTestBudget(0))
	client := newTestClient(t)
	body := bytes.Repeat([]byte("7"), 1<<20)
	before := int64(heapBytes())
	for range uploads {
		o := order(address, "/", body, int64(len(body)))
		o.Timeout = testTimeout
		go client.Deliver(t.Context(), o, discardWriter{})
	}
	for range uploads {
		<-node.arrived
	}
	// What is sent of the bodies fills the buffers on the way.
	time.Sleep(settleTime)
	if got := int64(heapBytes()) - before; got > uploads*mostEach {
		t.Errorf("memory of %d uploads: got %d KB, want at most %d", uploads, got>>10, uploads*mostEach>>10)
	}
}

const (
	testTimeout = 20 * time.Second
	settleTime  = 500 * time.Millisecond
)

// BenchmarkOrdinaryOrder measures what the shares cost an ordinary order.
func BenchmarkOrdinaryOrder(b *testing.B) {
	for name, budget := range map[string]*blbudget.Budget{"without": nil, "with": newTestBudget(0)} {
		b.Run(name, func(b *testing.B) {
			address := serveLimited(b, refusingNode{}, budget)
			client := NewClient(nil, NewHeaderTable(), func(string) {})
			defer client.Close()
			b.ReportAllocs()
			for b.Loop() {
				client.Deliver(b.Context(), order(address, "/", nil, 0), discardWriter{})
			}
		})
	}
}

// TestOrdersLeaveRoomForHeartbeats guards against orders that wait at a slow upstream and take
// all calls of their connection: heartbeats then waited behind them, and the node refused
// everything since it heard no lead.
func TestOrdersLeaveRoomForHeartbeats(t *testing.T) {
	budget := newTestBudget(1)
	limit := int(streamLimit(budget))
	node := waitingNode{arrived: make(chan struct{}, 2*limit)}
	address := serveLimited(t, node, budget)
	client := newTestClient(t)
	refused := make(chan bldeliver.Delivery, 2*limit)
	for range 2 * limit {
		o := order(address, "/", nil, 0)
		o.Timeout = testTimeout
		go func() { refused <- client.Deliver(t.Context(), o, discardWriter{}) }()
	}
	for range limit - controlStreams {
		<-node.arrived
	}
	for range limit + controlStreams {
		if got := <-refused; got.Refusal == nil || got.Refusal.Outcome != blvalue.OutcomeNotRun {
			t.Errorf("order beyond the limit: got %+v, want a refusal of one that hasn't run", got.Refusal)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if _, err := client.Identify(ctx, address); err != nil {
		t.Errorf("call beside the orders: got %v, want an answer", err)
	}
}
