package blupstream

import (
	"net/http"
	"strconv"
	"testing"

	"bergamotlead/core/blvalue"
	"bergamotlead/standin/blbroken"
)

// statusText is a response with the given status line, whose body looks like a response to
// the same request.
func statusText(line string) string {
	inner := responseText("$ID", "in")
	length := strconv.Itoa(len(inner) - len("$ID") + len("id"))
	return "HTTP/1.1 " + line + "\r\n" + idField + ": $ID\r\nContent-Length: " + length + "\r\n\r\n" + inner
}

// TestResponseWithInvalidStatus guards against an answer whose status is no final status of
// HTTP. net/http parses 000 as a status, and the pool took it for an interim response, so
// that its body was parsed as the response.
func TestResponseWithInvalidStatus(t *testing.T) {
	transports := map[string]func() http.RoundTripper{
		"pool":      func() http.RoundTripper { return NewPool(idField) },
		"transport": func() http.RoundTripper { return NewTransport() },
	}
	lines := []string{"000 ", "000 OK", "007 Odd", "099 Odd", "101 Switching Protocols", "600 Odd", "999 Odd", "+20 Odd"}
	for name, newTransport := range transports {
		for _, line := range lines {
			t.Run(name+" "+line, func(t *testing.T) {
				u := newRawUpstream(t, statusText(line))
				delivery, writer := deliverWithin(t, faultTimeout, newTransport(), u.listener.Addr().String())
				if delivery.Refusal == nil || delivery.Refusal.Outcome != blvalue.OutcomeUnknown {
					t.Fatalf("refusal: got %v, want an unknown outcome", delivery.Refusal)
				}
				if got, want := delivery.Refusal.Reason, blvalue.ReasonUpstreamFailed; got != want {
					t.Errorf("reason: got %s, want %s", got, want)
				}
				if delivery.Started || writer.status != 0 || writer.bytes != 0 {
					t.Errorf("written to the caller: got status %d and %d bytes, want nothing", writer.status, writer.bytes)
				}
			})
		}
	}
}

// TestInvalidStatusEndsConnection guards against a connection that is kept after an answer
// that can't be framed: what follows would pass for the next response.
func TestInvalidStatusEndsConnection(t *testing.T) {
	u := newRawUpstream(t, statusText("000 "), responseText("$ID", "two"))
	p := NewPool(idField)
	if _, err := exchange(t.Context(), t, p, u, "id"); err == nil {
		t.Fatal("first request: got a response, want an error")
	}
	if got, _ := exchange(t.Context(), t, p, u, "id"); got == "in" || got == "two" {
		t.Errorf("second request: got %q, want no response of the first connection", got)
	}
	if got := len(u.connections); got != 2 {
		t.Errorf("connections: got %d, want 2", got)
	}
}

// TestInterimAndOddStatusText checks that interim responses are still skipped, and that a
// status text in another encoding changes nothing.
func TestInterimAndOddStatusText(t *testing.T) {
	final := responseText("$ID", "two")
	cases := map[string]string{
		"continue":          "HTTP/1.1 100 Continue\r\n\r\n" + final,
		"early hints":       "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + final,
		"text beyond ASCII": "HTTP/1.1 200 \u00dcber\xff\r\n" + idField + ": $ID\r\nContent-Length: 3\r\n\r\ntwo",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, text)
			delivery, writer := deliverWithin(t, faultTimeout, NewPool(idField), u.listener.Addr().String())
			if delivery.Refusal != nil || writer.status != http.StatusOK || writer.bytes != 3 {
				t.Errorf("got %v, status %d and %d bytes, want the whole response", delivery.Refusal, writer.status, writer.bytes)
			}
		})
	}
}

// TestInvalidStatusEndsConnectionOfTransport guards against a second request on a connection
// of net/http's transport that had a response with an invalid status.
func TestInvalidStatusEndsConnectionOfTransport(t *testing.T) {
	for _, status := range blbroken.InvalidStatuses() {
		t.Run(status, func(t *testing.T) {
			checkRequestsGetBroken(t, NewTransport(), "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		})
	}
}

// TestInvalidStatusIsNoAnswerToGrant guards against a response to a grant whose status ends
// no request.
func TestInvalidStatusIsNoAnswerToGrant(t *testing.T) {
	for _, status := range blbroken.InvalidStatuses() {
		t.Run(status, func(t *testing.T) {
			checkGrantsGetBroken(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		})
	}
}
