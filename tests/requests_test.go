package bltests_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// TestBadInput sends malformed requests and requests that must be rejected.
func TestBadInput(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, false), nil)
	raw := func(lines ...string) string { return strings.Join(lines, "\r\n") + "\r\n\r\n" }
	auth := "Authorization: Bearer " + f.ClientKeys[account]
	cases := []struct {
		name, text string
		status     int
	}{
		{"no key in the path", raw("GET /pot HTTP/1.1", "Host: x", auth), 400},
		{"a key that is too long", raw("GET /pot/"+strings.Repeat("a", 600)+" HTTP/1.1", "Host: x", auth), 400},
		{"a bad escape", raw("GET /pot/%zz HTTP/1.1", "Host: x", auth), 400},
		{"an invalid timeout", raw("GET /pot/a/total HTTP/1.1", "Host: x", auth, "Bergamotlead-Timeout: soon"), 400},
		{"a body above the limit", raw("POST /pot/a/contributions HTTP/1.1", "Host: x", auth, "Content-Length: 99999999"), 400},
		{"headers above the limit", raw("GET /pot/a/total HTTP/1.1", "Host: x", auth, "X: "+strings.Repeat("a", 1<<18)), 431},
		{"no such service", raw("GET /nothing/a HTTP/1.1", "Host: x", auth), 404},
		{"no such method", raw("BREW /pot/a/total HTTP/1.1", "Host: x", auth), 404},
		{"no client key", raw("GET /pot/a/total HTTP/1.1", "Host: x"), 401},
		{"two client keys", raw("GET /pot/a/total HTTP/1.1", "Host: x", auth, auth), 401},
		{"not HTTP", raw("hello"), 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.Hosts[0].CallerAddress)
			if err != nil {
				t.Fatalf("dial: %v", err)
			}
			defer func() { _ = connection.Close() }()
			_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(connection, c.text)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Fatalf("read response: %v", err)
			}
			_ = response.Body.Close()
			if got := response.StatusCode; got != c.status {
				t.Errorf("status: got %d, want %d", got, c.status)
			}
		})
	}
}
