package blupstream

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blmember"
	"bergamotlead/core/bltimer"
)

// TestGrantAfterSuspensionOutlastsTheNode guards against a second owner: the end of a grant
// was told in the time of an announcement from before a suspension, which the upstream's
// clock may not have counted.
func TestGrantAfterSuspensionOutlastsTheNode(t *testing.T) {
	const (
		announcedMS = 1000
		suspended   = 5 * time.Second
		left        = 2 * time.Second
	)
	var body GrantBody
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(&body)
	}))
	defer server.Close()
	clock := bltimer.NewManual()
	received := NewReceivedAnnouncement(clock, blmember.Announcement{
		Address: strings.TrimPrefix(server.URL, "http://"), ClockMS: announcedMS,
	})
	clock.Suspend(suspended)
	grant := blgrant.Grant{Until: clock.Now().Add(left)}
	if err := NewGrantSender(clock).Send(grant, received); err != nil {
		t.Fatalf("Send: got %v, want nil", err)
	}
	if got, want := body.UntilClockMS, announcedMS+left.Milliseconds(); got != want {
		t.Errorf("end of the grant by the upstream's clock: got %d ms, want %d ms", got, want)
	}
}
