package blupstream

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/url"
	"testing"
)

// TestTargetIsSentUnchanged guards against paths that were encoded anew on their way to the
// upstream, which then ran another resource than the client had named.
func TestTargetIsSentUnchanged(t *testing.T) {
	for _, target := range []string{
		"/", "/chip/a%2Fb", "/chip/a%2Fb|c", "/chip/..%2Fb|c", "/chip/caf\u00e9?x=1", "/chip/a#b", "/chip/a?", "/chip/a?b|c=%zz",
		"/chip/%41", "//chip//a%2Fb", "*", "/chip/a:b;c", "/chip/\"<>^`{}", "/chip/\xff",
	} {
		t.Run(target, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://10.1.0.5:80", nil)
			if err != nil {
				t.Fatalf("NewRequest: got %v, want nil", err)
			}
			if err := setTarget(request.URL, target); err != nil {
				t.Fatalf("setTarget: got %v, want nil", err)
			}
			var sent bytes.Buffer
			if err := request.Write(&sent); err != nil {
				t.Fatalf("Write: got %v, want nil", err)
			}
			got, err := bufio.NewReader(&sent).ReadString('\n')
			if want := "GET " + target + " HTTP/1.1\r\n"; err != nil || got != want {
				t.Errorf("request line: got %q, %v, want %q", got, err, want)
			}
		})
	}
}

// TestTargetThatWouldChangeIsRefused guards against targets that would be sent as others, or
// end the request line.
func TestTargetThatWouldChangeIsRefused(t *testing.T) {
	for _, target := range []string{"", "chip", "/chip a", "/chip\r\nHost: other", "//chip/a|b"} {
		var got TargetError
		if err := setTarget(&url.URL{Scheme: "http", Host: "10.1.0.5"}, target); !errors.As(err, &got) {
			t.Errorf("setTarget of %q: got %v, want a TargetError", target, err)
		}
	}
}
