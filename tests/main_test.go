// Package bltests_test runs whole fleets as separate processes on loopback and
// checks the system's invariants.
package bltests_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/io/blsettings"
	"bergamotlead/tools/blfleet"
)

var binariesFolder string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "bergamotlead-tests-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make folder:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := blfleet.Build("..", folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binariesFolder = folder
	return m.Run()
}

const (
	startWait  = 30 * time.Second
	partitions = 128
	account    = "family_app"
)

// fleet is a running deployment with its configuration.
type fleet struct {
	*blfleet.Fleet

	t        *testing.T
	revision uint64
	document string
}

// deploy starts the hosts, applies the Dakar document as changed by edit and
// waits until every partition has an owner.
func deploy(t *testing.T, hosts []blfleet.HostSpec, edit func(blconfig.Document) blconfig.Document) *fleet {
	t.Helper()
	return deployLinked(t, hosts, edit, nil)
}

// deployLinked is deploy with a proxy before the store and before each node.
func deployLinked(
	t *testing.T, hosts []blfleet.HostSpec, edit func(blconfig.Document) blconfig.Document, link func(name, target string) (string, error),
) *fleet {
	t.Helper()
	started, err := blfleet.Start(blfleet.Options{
		Binaries: binariesFolder, Folder: t.TempDir(), Region: "sn_west", Hosts: hosts, WorkLogs: true, Link: link,
	})
	if err != nil {
		t.Fatalf("start fleet: %v", err)
	}
	t.Cleanup(started.Stop)
	f := &fleet{Fleet: started, t: t}
	if _, err := f.WaitReady(startWait); err != nil {
		t.Fatalf("wait for fleet: %v", err)
	}
	document, err := f.Document(filepath.Join("..", "configs", "dakar.toml"), edit)
	if err != nil {
		t.Fatalf("make document: %v", err)
	}
	f.apply(document)
	if err := f.WaitOwners("pot", partitions, startWait); err != nil {
		t.Fatalf("wait for owners: %v", err)
	}
	return f
}

// apply stores a document and waits until it is in force.
func (f *fleet) apply(document string) {
	f.t.Helper()
	result, err := f.Apply(f.Hosts[0], f.revision, document)
	if err != nil || result.Result != "accepted" || !result.InForce {
		f.t.Fatalf("apply: got %+v, %v, want accepted and in force", result, err)
	}
	f.revision, f.document = result.Revision, document
}

// editedDocument returns the document in force as changed by edit.
func (f *fleet) editedDocument(edit func(blconfig.Document) blconfig.Document) string {
	f.t.Helper()
	document, err := blsettings.ParseDocument([]byte(f.document))
	if err != nil {
		f.t.Fatalf("read document: %v", err)
	}
	text, err := blsettings.FormatDocument(edit(document))
	if err != nil {
		f.t.Fatalf("write document: %v", err)
	}
	return string(text)
}

// withValue returns the document with one value replaced. The setting keeps its
// reason; a new setting gets a generated one.
func withValue(d blconfig.Document, section, entry, option string, value blconfig.Value) blconfig.Document {
	path := blconfig.Path{Section: section, Entry: entry, Option: option}
	setting, ok := d.Get(path)
	if !ok {
		setting.Reason = "A test needs " + path.String() + " to be " + value.String()
	}
	setting.Value = value
	return d.With(path, setting)
}

func integer(value int64) blconfig.Value {
	return blconfig.Value{Kind: blconfig.KindInteger, Integer: value}
}

func list(values ...string) blconfig.Value {
	return blconfig.Value{Kind: blconfig.KindList, List: values}
}

// roles returns the host of the lead, the host of the standby, and one that is
// neither.
func (f *fleet) roles() (lead, standby, other *blfleet.Host) {
	f.t.Helper()
	for deadline := time.Now().Add(startWait); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		lead = f.Lead()
		if lead == nil {
			continue
		}
		status, err := f.Status(lead)
		if err != nil || status.Standby == "" {
			continue
		}
		standby = f.HostByName(string(status.Standby))
		break
	}
	if lead == nil || standby == nil {
		f.t.Fatal("roles: got none, want lead and standby")
	}
	for _, host := range f.Hosts {
		if host != lead && host != standby {
			return lead, standby, host
		}
	}
	f.t.Fatal("roles: got no third host")
	return nil, nil, nil
}

func (f *fleet) startTraffic(hosts ...*blfleet.Host) *blfleet.Traffic {
	return f.StartTraffic(account, nil, hosts...)
}
