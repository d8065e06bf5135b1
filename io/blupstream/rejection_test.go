package blupstream

import (
	"testing"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/standin/blbroken"
)

// TestBrokenRejectionIsUnknown guards against a rejection that breaks off and is told to the
// caller as a request that has not run.
func TestBrokenRejectionIsUnknown(t *testing.T) {
	const rejected = "HTTP/1.1 503 Service Unavailable\r\nBergamotlead-Not-Run: shed\r\n" + idField + ": $ID\r\n"
	const chunked = rejected + "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, text string
		ending     blbroken.Ending
		outcome    blvalue.Outcome
	}{
		{"without a length, reset", rejected + "\r\npart", blbroken.EndReset, blvalue.OutcomeUnknown},
		{"with a length, reset", rejected + "Content-Length: 9\r\n\r\npart", blbroken.EndReset, blvalue.OutcomeUnknown},
		{"with a length, cut", rejected + "Content-Length: 9\r\n\r\npart", blbroken.EndInOrder, blvalue.OutcomeUnknown},
		{"chunked, cut", chunked + "4\r\npart\r\n", blbroken.EndInOrder, blvalue.OutcomeUnknown},
		{"chunked, invalid trailer", chunked + "4\r\npart\r\n0\r\nBad Name: x\r\n\r\n", blbroken.EndInOrder, blvalue.OutcomeUnknown},
		{"without a length, whole", rejected + "\r\nwhole", blbroken.EndInOrder, blvalue.OutcomeNotRun},
		{"with a length, whole", rejected + "Content-Length: 5\r\n\r\nwhole", blbroken.EndReset, blvalue.OutcomeNotRun},
		{"chunked, whole", chunked + "5\r\nwhole\r\n0\r\n\r\n", blbroken.EndReset, blvalue.OutcomeNotRun},
	}
	for name, newTransport := range bothTransports {
		for _, c := range cases {
			t.Run(name+", "+c.name, func(t *testing.T) {
				server := blbroken.Start(t, c.text, c.ending)
				transport := newTransport()
				if c.ending == blbroken.EndReset {
					transport = blbroken.NewWriterFirst(transport, server)
				} else {
					server.End()
				}
				delivery, writer := deliverWithin(t, 10*time.Second, transport, server.Address())
				if delivery.Refusal == nil || delivery.Refusal.Outcome != c.outcome {
					t.Errorf("refusal: got %v, want outcome %s", delivery.Refusal, c.outcome)
				}
				if delivery.Started || writer.status != 0 {
					t.Errorf("written to the caller: got status %d, want nothing", writer.status)
				}
			})
		}
	}
}

// TestCutResponseHasItsFault checks that a response which ends before its length has its
// fault, and the outcome of an answer that was truncated.
func TestCutResponseHasItsFault(t *testing.T) {
	for name, newTransport := range bothTransports {
		t.Run(name, func(t *testing.T) {
			server := blbroken.Start(t, "HTTP/1.1 200 OK\r\n"+idField+": $ID\r\nContent-Length: 9\r\n\r\npart", blbroken.EndInOrder)
			server.End()
			delivery, writer := deliverWithin(t, faultTimeout, newTransport(), server.Address())
			if delivery.Refusal == nil || delivery.Refusal.Outcome != blvalue.OutcomePartial || delivery.Fault != blvalue.FaultCut {
				t.Errorf("got refusal %v, fault %q, want a truncated answer that was cut short", delivery.Refusal, delivery.Fault)
			}
			if delivery.Started || writer.status != 0 {
				t.Errorf("written to the caller: got status %d, want nothing", writer.status)
			}
		})
	}
}
