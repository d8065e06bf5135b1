package bltests_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// TestSettingsAreReloaded changes a node's settings file, once to invalid
// content, and sends SIGHUP. The node must keep serving in every case.
func TestSettingsAreReloaded(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(2, false), nil)
	host := f.Hosts[0]
	text, err := os.ReadFile(host.SettingsFile)
	if err != nil {
		t.Fatalf("read settings: %v", err)
	}
	cases := []struct {
		name, settings, line string
	}{
		{"unknown name", string(text) + "unknown = 1\n", "settings not reloaded"},
		{"another log level", string(text) + "log_level = \"warn\"\n", ""},
		{"the original log level", string(text), "settings reloaded"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(host.SettingsFile, []byte(c.settings), 0o600); err != nil {
				t.Fatalf("write settings: %v", err)
			}
			host.Node.Signal(syscall.SIGHUP)
			f.waitLine(host.LogFile, c.line)
			if _, err := f.Status(host); err != nil {
				t.Errorf("status after the signal: got %v, want nil", err)
			}
		})
	}
}

// waitLine waits until a log file contains the given text.
func (f *fleet) waitLine(path, text string) {
	f.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if log, err := os.ReadFile(path); err == nil && strings.Contains(string(log), text) {
			return
		}
	}
	f.t.Errorf("log %s: got no line with %q, want one", path, text)
}
