package bllink

import (
	"testing"
	"time"
)

// TestLinkFaults checks which faults of a link keep data from arriving.
func TestLinkFaults(t *testing.T) {
	echo := newEchoServer(t)
	cases := []struct {
		name   string
		faults Faults
		want   bool
	}{
		{"passes", Faults{}, true},
		{"delays", Faults{Delay: 30 * time.Millisecond}, true},
		{"cuts towards the target", Faults{CutForward: true}, false},
		{"cuts from the target", Faults{CutBack: true}, false},
		{"silent", Faults{Silent: true}, false},
		{"slows", Faults{BytesPerSecond: 1000}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := New(echo)
			if err != nil {
				t.Fatalf("open link: %v", err)
			}
			defer l.Close()
			l.Set(c.faults)
			if got := isEchoed(t, l.Address()); got != c.want {
				t.Errorf("echo received: got %t, want %t", got, c.want)
			}
		})
	}
}
