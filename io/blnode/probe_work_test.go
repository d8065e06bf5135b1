package blnode

import (
	"net"
	"testing"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blvalue"
)

// probe returns what a probe of the address tells.
func probe(t *testing.T, address string) blassign.HostProbed {
	t.Helper()
	results := make(chan blassign.Message, 1)
	prober := hostProber{put: func(m blassign.Message) error {
		results <- m
		return nil
	}}
	prober.perform(blassign.ProbeHosts{Hosts: []blvalue.Host{{Name: "host-1", Address: address}}})
	result, ok := (<-results).(blassign.HostProbed)
	if !ok || result.Host.Name != "host-1" {
		t.Fatalf("result: got %v, want that of host-1", result)
	}
	return result
}

// TestProbeTellsRefusedConnections checks that only a host where nothing listens counts as
// one that refused a connection.
func TestProbeTellsRefusedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	address := listener.Addr().String()
	if got := probe(t, address); got.Refused {
		t.Errorf("refused by a listener: got %v, want false", got.Refused)
	}
	if err := listener.Close(); err != nil {
		t.Fatalf("close: %v", err)
	}
	if got := probe(t, address); !got.Refused {
		t.Errorf("refused without a listener: got %v, want true", got.Refused)
	}
	if got := probe(t, "host without a port"); got.Refused {
		t.Errorf("refused by an address without a host: got %v, want false", got.Refused)
	}
}
