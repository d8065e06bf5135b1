package blresponse_test

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/blresponse"
)

func ExampleCheckHead() {
	fmt.Println(blresponse.CheckHead(200, map[string][]string{"Content-Length": {"2"}}))
	fmt.Println(blresponse.CheckHead(200, map[string][]string{"Content-Length ": {"2"}}))
	err := blresponse.CheckHead(0, nil)
	fmt.Println(err, blresponse.FaultOf(err))
	// Output:
	// <nil>
	// broken response: field name "Content-Length "
	// broken response: status 000 invalid_status
}

// TestFaultOf checks that the fault is found behind what readers add to an error, and that
// an error without one has none.
func TestFaultOf(t *testing.T) {
	broken := blresponse.BrokenError{Fault: blvalue.FaultCut, Cause: io.ErrUnexpectedEOF}
	cases := []struct {
		name string
		err  error
		want blvalue.ResponseFault
	}{
		{"none", nil, ""},
		{"another error", io.ErrUnexpectedEOF, ""},
		{"broken response", broken, blvalue.FaultCut},
		{"wrapped", fmt.Errorf("read body: %w", broken), blvalue.FaultCut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := blresponse.FaultOf(c.err); got != c.want {
				t.Errorf("fault: got %q, want %q", got, c.want)
			}
		})
	}
	if !errors.Is(broken, io.ErrUnexpectedEOF) {
		t.Error("cause: got none, want that of the broken response")
	}
}
