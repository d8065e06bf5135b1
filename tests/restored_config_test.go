package bltests_test

import (
	"net/http"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/tools/blfleet"
)

// rotated is the account whose client key is replaced before the restore.
const rotated = "thies_kiosk"

// rotateKey replaces the client key of an account through a configuration change and
// returns both. The traffic reads ClientKeys, which therefore keep the withdrawn key.
func (f *fleet) rotateKey(name string) (withdrawn, next string) {
	f.t.Helper()
	withdrawn = f.ClientKeys[name]
	next = withdrawn + "_next"
	f.apply(f.editedDocument(func(d blconfig.Document) blconfig.Document {
		return withValue(d, blconfig.SectionAccounts, name, "key_digests", list(blfleet.KeyDigest(next)))
	}))
	return withdrawn, next
}

// TestRestoredStoreKeepsTheConfiguration restores the store from before an accepted
// change. No node may return to the configuration before the change, and a further
// change must be accepted.
func TestRestoredStoreKeepsTheConfiguration(t *testing.T) {
	t.Parallel()
	const settleTime = 6 * time.Second
	cases := []struct {
		name   string
		change func(f *fleet)
	}{
		{"the lead stays", func(*fleet) {}},
		{"the lead is replaced while the store is away", func(f *fleet) {
			lead, _, _ := f.roles()
			lead.Node.Kill()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := deploy(t, blfleet.PotHosts(4, true), nil)
			f.roles()
			time.Sleep(time.Second)
			before := time.Now()
			time.Sleep(300 * time.Millisecond)
			withdrawn, next := f.rotateKey(rotated)
			time.Sleep(500 * time.Millisecond)
			f.setPlatformFaults(map[string]any{
				"restore_seconds": time.Since(before).Seconds(), "restore_down_ms": restoreDown.Milliseconds(),
			})
			c.change(f)
			f.checkWithdrawn(withdrawn, restoreDown+settleTime)
			f.checkServed(next)
			f.changeAgain()
		})
	}
}

// checkWithdrawn sends requests with a withdrawn client key to all hosts for the given
// time and reports hosts that accept it.
func (f *fleet) checkWithdrawn(key string, length time.Duration) {
	f.t.Helper()
	accepted := map[string]int{}
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, host := range f.Hosts {
			response, err := f.Call(host, http.MethodGet, "/pot/x/total", key, "")
			if err == nil && response.Status == http.StatusOK {
				accepted[host.Spec.Name]++
			}
		}
	}
	for name, count := range accepted {
		f.t.Errorf("withdrawn client key at %s: got %d requests served, want none", name, count)
	}
}

// checkServed checks that every host whose node runs serves a client key.
func (f *fleet) checkServed(key string) {
	f.t.Helper()
	for _, host := range f.Hosts {
		if _, err := f.Status(host); err != nil {
			continue
		}
		response, err := f.Call(host, http.MethodGet, "/pot/x/total", key, "")
		if err != nil || response.Status != http.StatusOK {
			f.t.Errorf("client key of the accepted change at %s: got status %d, %v, want %d", host.Spec.Name, response.Status, err, http.StatusOK)
		}
	}
}

// changeAgain applies another change on the revision that the lead reports.
func (f *fleet) changeAgain() {
	f.t.Helper()
	lead, err := f.WaitLead(restoredBound)
	if err != nil {
		f.t.Fatalf("wait for lead: %v", err)
	}
	status, err := f.Status(lead)
	if err != nil {
		f.t.Fatalf("status: %v", err)
	}
	result, err := f.Apply(lead, status.ConfigRevision, f.document)
	if err != nil || result.Result != "accepted" {
		f.t.Errorf("change after the restore: got %+v, %v, want accepted", result, err)
	}
}
