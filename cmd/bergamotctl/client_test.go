package main

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"bergamotlead/io/bloperator"
)

// TestExitCode guards against a conflict or an unknown outcome that a script takes
// for a plain failure.
func TestExitCode(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want int
	}{
		{"conflicting change", changeError{result: bloperator.ChangeResult{Result: bloperator.ResultConflict}}, exitConflict},
		{"change of unknown outcome", changeError{result: bloperator.ChangeResult{Result: bloperator.ResultUnknown}}, exitUnknown},
		{"refused change", changeError{result: bloperator.ChangeResult{Result: "refused"}}, exitFailed},
		{"refused by the node's state", fmt.Errorf("mark lost: %w", responseError{status: http.StatusConflict}), exitConflict},
		{"no answer of the lead", responseError{status: http.StatusGatewayTimeout}, exitUnknown},
		{"no connection", errors.New("refused"), exitFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := exitCode(c.err); got != c.want {
				t.Errorf("exit code: got %d, want %d", got, c.want)
			}
		})
	}
}
