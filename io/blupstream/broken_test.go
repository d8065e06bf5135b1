package blupstream

import (
	"net/http"
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blmember"
	"bergamotlead/core/bltimer"
	"bergamotlead/standin/blbroken"
)

// bothTransports are the transports by which a node reads the responses of upstreams.
var bothTransports = map[string]func() http.RoundTripper{
	"pool":      func() http.RoundTripper { return NewPool(idField) },
	"transport": func() http.RoundTripper { return NewTransport() },
}

// endlessBody is the body of a request that never ends.
type endlessBody struct{}

func (endlessBody) Read(buffer []byte) (int, error) { return len(buffer), nil }

// checkRequestsGetBroken checks that requests which get a text as a response have no answer,
// and that each has a connection of its own.
func checkRequestsGetBroken(t *testing.T, transport http.RoundTripper, text string) {
	t.Helper()
	server := blbroken.Start(t, text, blbroken.KeepOpen)
	for range 2 {
		if delivery, _ := deliverWithin(t, faultTimeout, transport, server.Address()); delivery.Refusal == nil {
			t.Error("refusal: got none, want one")
		}
	}
	if got, want := server.Connections(), 2; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// checkGrantsGetBroken checks the same of grants.
func checkGrantsGetBroken(t *testing.T, text string) {
	t.Helper()
	server := blbroken.Start(t, text, blbroken.KeepOpen)
	clock := bltimer.NewSystem()
	received := NewReceivedAnnouncement(clock, blmember.Announcement{Address: server.Address()})
	sender := NewGrantSender(clock)
	for range 2 {
		if err := sender.Send(blgrant.Grant{Until: clock.Now().Add(time.Second)}, received); err == nil {
			t.Error("grant: got an answer, want an error")
		}
	}
	if got, want := server.Connections(), 2; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}
