package blnode

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/bltimer"
	"bergamotlead/io/blstore"
)

// TestRenewalTellsTheEra guards against a lead that learns nothing of a restore during
// which none of its calls failed.
func TestRenewalTellsTheEra(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Bergamotlead-Store-Era", "3")
	}))
	t.Cleanup(server.Close)
	store := leadStore{
		store: blstore.New(strings.TrimPrefix(server.URL, "http://")), keys: blstore.NewKeys("region"), clock: bltimer.NewSystem(),
		leaseTTL: func() time.Duration { return time.Second }, countCall: func(string) {},
	}
	if got := store.renewLease(bllead.RenewLease{Lease: "1"}); got.Failed || got.Lost || got.Era != 3 {
		t.Errorf("renewed: got %+v, want a success in era 3", got)
	}
}
