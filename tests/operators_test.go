package bltests_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/tools/blfleet"
)

// ctl runs bergamotctl against a host's node and returns its output and exit
// code.
func (f *fleet) ctl(host *blfleet.Host, args ...string) (string, int) {
	f.t.Helper()
	token := filepath.Join(f.t.TempDir(), "token")
	if err := os.WriteFile(token, []byte(f.OperatorToken), 0o600); err != nil {
		f.t.Fatalf("write token: %v", err)
	}
	all := append([]string{"--node", host.OperatorAddress, "--token-file", token}, args...)
	command := exec.CommandContext(context.Background(), filepath.Join(binariesFolder, "bergamotctl"), all...)
	output, _ := command.CombinedOutput()
	return string(output), command.ProcessState.ExitCode()
}

// mustCtl runs bergamotctl and fails the test unless it exits with 0.
func (f *fleet) mustCtl(host *blfleet.Host, args ...string) string {
	f.t.Helper()
	output, code := f.ctl(host, args...)
	if code != 0 {
		f.t.Fatalf("bergamotctl %v: got exit code %d, want 0: %s", args, code, output)
	}
	return output
}

func TestCommandLine(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	f.roles()
	host := f.Hosts[1]
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"status", []string{"status"}, 0, "failure domain"},
		{"status as JSON", []string{"--output", "json", "status"}, 0, `"failure_domain"`},
		{"assignment", []string{"assignment", "pot"}, 0, "partitions of 128"},
		{"owner of a key", []string{"assignment", "pot", "--key", "awa"}, 0, "pot_"},
		{"assignment of a shared service", []string{"assignment", "wishlist"}, 1, "isn't divided by key"},
		{"check a valid document", []string{"config", "check", "../configs/dakar.toml"}, 0, "no faults"},
		{"check an invalid document", []string{"config", "check", "testdata/bad.toml"}, 1, "timing.heartbeat: the reason is missing"},
		{"explain", []string{"config", "explain", "--prefix", "timing.heartbeat"}, 0, "acts on: How often each node reports"},
		{"show", []string{"config", "show"}, 0, "# revision"},
		{"history", []string{"config", "history"}, 0, "replaced revision"},
		{"take an unknown failure domain out", []string{"domain", "out", "nowhere", "--reason", "There is no such hall"}, 1, "there is no failure domain nowhere"},
		{"a reason that another setting already has", []string{"domain", "out", "sn_west_c", "--reason", "The hall in Pikine takes work"}, 1, "the reason is copied"},
		{"no reason", []string{"domain", "out", "sn_west_c"}, 80, "missing flags"},
		{"a host that is neither lead nor standby", []string{"host", "lost", "nobody", "--sure"}, 3, "neither lead nor standby"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			output, code := f.ctl(host, c.args...)
			if code != c.code || !strings.Contains(output, c.want) {
				t.Errorf("bergamotctl %v: got exit code %d and %q, want %d and %q", c.args, code, output, c.code, c.want)
			}
		})
	}
}

func TestKeyIsIssuedAndWithdrawn(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	f.roles()
	output := f.mustCtl(f.Hosts[0], "key", "issue", "school_groups", "--reason", "The school groups got a second tablet")
	key := output[strings.LastIndex(output, " ")+1:]
	key = strings.TrimSpace(key)
	call := func() int {
		response, err := f.Call(f.Hosts[2], http.MethodGet, "/pot/awa/total", key, "")
		if err != nil {
			t.Fatalf("call: %v", err)
		}
		return response.Status
	}
	if got := call(); got != http.StatusOK {
		t.Errorf("status with the new key: got %d, want 200", got)
	}
	f.mustCtl(f.Hosts[1], "key", "withdraw", "school_groups", "--key", key, "--reason", "The second tablet was lost")
	if got := call(); got != http.StatusUnauthorized {
		t.Errorf("status with the withdrawn key: got %d, want 401", got)
	}
	for _, host := range f.Hosts {
		log, err := os.ReadFile(host.LogFile)
		if err != nil || strings.Contains(string(log), key) {
			t.Errorf("log of %s: got the client key or %v, want neither", host.Spec.Name, err)
		}
	}
}

func TestConcurrentConfigChangesConflict(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	f.roles()
	path := filepath.Join(t.TempDir(), "mine.toml")
	if err := os.WriteFile(path, []byte(f.editedDocument(func(d blconfig.Document) blconfig.Document {
		return withValue(d, "limits", "", "queue_length", integer(32))
	})), 0o600); err != nil {
		t.Fatalf("write document: %v", err)
	}
	base := f.revision
	f.mustCtl(f.Hosts[0], "domain", "out", "sn_west_c", "--reason", "The hall in Thies is flooded")
	output, code := f.ctl(f.Hosts[1], "config", "apply", path, "--base", fmt.Sprint(base))
	if code != 3 || !strings.Contains(output, "conflict") ||
		!strings.Contains(output, "domains.sn_west_c.state") || !strings.Contains(output, "limits.queue_length") {
		t.Errorf("second apply: got exit code %d and %q, want a conflict that names both changes", code, output)
	}
}

// TestLostStoreResponseIsResolved drops the store's response to the write of a
// change, after the write took effect.
func TestLostStoreResponseIsResolved(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	f.roles()
	f.setPlatformFaults(map[string]any{"lose_answers": 1})
	f.mustCtl(f.Hosts[0], "domain", "out", "sn_west_c", "--reason", "The hall in Thies is flooded")
	f.setPlatformFaults(map[string]any{"lose_answers": 0})
	if shown := f.mustCtl(f.Hosts[1], "config", "show"); !strings.Contains(shown, "The hall in Thies is flooded") {
		t.Errorf("document after the lost response: got %q, want the change", shown)
	}
}

// TestAcceptedConfigurationSurvivesLeadFailure guards against losing an
// acknowledged change: it kills the lead right after the acknowledgement, and
// no node's revision may decrease.
func TestAcceptedConfigurationSurvivesLeadFailure(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(4, true), nil)
	lead, _, other := f.roles()
	f.mustCtl(lead, "domain", "out", "sn_west_c", "--reason", "The hall in Thies is flooded")
	revision := f.revisionAt(other)
	lead.Node.Kill()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if got := f.revisionAt(other); got < revision {
			t.Fatalf("revision at %s: got %d after %d, want no decrease", other.Spec.Name, got, revision)
		}
		if next := f.Lead(); next != nil && next != lead {
			if got := f.revisionAt(next); got < revision {
				t.Errorf("revision at the new lead: got %d, want at least %d", got, revision)
			}
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("new lead: got none, want one")
}

func (f *fleet) revisionAt(host *blfleet.Host) uint64 {
	f.t.Helper()
	status, err := f.Status(host)
	if err != nil {
		f.t.Fatalf("status of %s: %v", host.Spec.Name, err)
	}
	return status.ConfigRevision
}
