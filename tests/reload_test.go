package bltests_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestSettingsAreReloaded changes a node's settings file, once to one that
// can't be read, and signals the node, which goes on serving.
func TestSettingsAreReloaded(t *testing.T) {
	f := deploy(t, potHosts(2, false), nil)
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
		{"the log level of before", string(text), "settings reloaded"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(host.SettingsFile, []byte(c.settings), 0o600); err != nil {
				t.Fatalf("write settings: %v", err)
			}
			host.Node.Signal(syscall.SIGHUP)
			f.waitLine(host.LogFile, c.line)
			if _, err := f.Status(host); err != nil {
				t.Errorf("status after the signal: got %v, want an answer", err)
			}
		})
	}
}

// waitLine waits until a log file has a line with the given text.
func (f *fleet) waitLine(path, text string) {
	f.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if log, err := os.ReadFile(path); err == nil && strings.Contains(string(log), text) {
			return
		}
	}
	f.t.Errorf("log of %s: got no line %q, want one", path, text)
}
