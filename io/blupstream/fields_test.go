package blupstream

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"bergamotlead/core/blvalue"
	"bergamotlead/standin/blbroken"
)

// brokenResponses returns responses with an invalid line, a rejection among them.
func brokenResponses(line string) map[string]string {
	const id = idField + ": $ID\r\n"
	responses := blbroken.WithInvalidLine(line, id, "two")
	responses["rejection"] = "HTTP/1.1 503 Service Unavailable\r\nBergamotlead-Not-Run: shed\r\n" + id + line + "\r\nContent-Length: 0\r\n\r\n"
	return responses
}

// TestInvalidFieldName guards against a response with a field whose name is none. net/http
// takes a name with a blank as it is, so that the line was passed on, or the body had
// another end than the upstream meant.
func TestInvalidFieldName(t *testing.T) {
	for name, newTransport := range bothTransports {
		for _, line := range blbroken.InvalidLines() {
			for place, text := range brokenResponses(line) {
				t.Run(name+", "+place+", "+strconv.Quote(line), func(t *testing.T) {
					u := newRawUpstream(t, text)
					delivery, writer := deliverWithin(t, faultTimeout, newTransport(), u.listener.Addr().String())
					if delivery.Refusal == nil {
						t.Fatal("refusal: got none, want one")
					}
					if got := delivery.Refusal.Outcome; got == blvalue.OutcomeNotRun {
						t.Errorf("outcome: got %s, want one that doesn't exclude that it ran", got)
					}
					if got, want := delivery.Refusal.Reason, blvalue.ReasonUpstreamFailed; got != want {
						t.Errorf("reason: got %s, want %s", got, want)
					}
					if got := delivery.Fault; got != blvalue.FaultFieldName && got != blvalue.FaultHead {
						t.Errorf("fault: got %q, want that of a name or a head", got)
					}
					if delivery.Started || writer.status != 0 || writer.bytes != 0 {
						t.Errorf("written to the caller: got status %d and %d bytes, want nothing", writer.status, writer.bytes)
					}
				})
			}
		}
	}
}

// TestInvalidFieldNameEndsConnection guards against a second request on a connection that had
// a response with an invalid name: what follows may be a part of that response.
func TestInvalidFieldNameEndsConnection(t *testing.T) {
	for name, newTransport := range bothTransports {
		for _, line := range blbroken.InvalidLines() {
			for place, text := range brokenResponses(line) {
				t.Run(name+", "+place+", "+strconv.Quote(line), func(t *testing.T) {
					checkRequestsGetBroken(t, newTransport(), text)
				})
			}
		}
	}
}

// TestInvalidTrailerAfterStart checks that a response whose trailer has an invalid name is
// cut short for a caller that has begun to get it.
func TestInvalidTrailerAfterStart(t *testing.T) {
	size := 3 * copyBytes
	text := "HTTP/1.1 200 OK\r\n" + idField + ": $ID\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strconv.FormatInt(int64(size), 16) + "\r\n" + strings.Repeat("x", size) + "\r\n0\r\nBad Name: x\r\n\r\n"
	for name, newTransport := range bothTransports {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, text)
			delivery, _ := deliverWithin(t, faultTimeout, newTransport(), u.listener.Addr().String())
			if delivery.Refusal == nil || delivery.Refusal.Outcome != blvalue.OutcomePartial || !delivery.Started {
				t.Errorf("got refusal %v, started %v, want one that is cut short", delivery.Refusal, delivery.Started)
			}
			if got, want := delivery.Fault, blvalue.FaultFieldName; got != want {
				t.Errorf("fault: got %q, want %q", got, want)
			}
		})
	}
}

// TestOddFieldNames checks that names with all characters that HTTP allows are passed on.
func TestOddFieldNames(t *testing.T) {
	const odd = "x!#$%&'*+-.^_`|~09"
	text := "HTTP/1.1 200 OK\r\n" + idField + ": $ID\r\n" + odd + ": x\r\nContent-Length: 3\r\n\r\ntwo"
	for name, newTransport := range bothTransports {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, text)
			delivery, writer := deliverWithin(t, faultTimeout, newTransport(), u.listener.Addr().String())
			if delivery.Refusal != nil || writer.status != http.StatusOK || writer.bytes != 3 {
				t.Errorf("got %v, status %d and %d bytes, want the whole response", delivery.Refusal, writer.status, writer.bytes)
			}
		})
	}
}

// TestInvalidFieldNameIsNoAnswerToGrant guards against a response to a grant with a field
// whose name is none, and against a second use of its connection.
func TestInvalidFieldNameIsNoAnswerToGrant(t *testing.T) {
	for _, line := range blbroken.InvalidLines() {
		for _, place := range []string{"head", "head without body", "interim head"} {
			t.Run(place+", "+strconv.Quote(line), func(t *testing.T) {
				checkGrantsGetBroken(t, blbroken.WithInvalidLine(line, "", "two")[place])
			})
		}
	}
}
