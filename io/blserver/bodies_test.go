package blserver

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestStopCutsUnusualRequests guards against a stop that cuts requests whose bodies
// arrive during it, and ones of other versions and methods.
func TestStopCutsUnusualRequests(t *testing.T) {
	large := strings.Repeat("b", 64<<10)
	cases := []struct {
		name, head, rest string
		continues        bool
		want             string
	}{
		{"slow body", "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 4\r\n\r\nab", "cd", false, "abcd"},
		{"body larger than a buffer", "POST /a HTTP/1.1\r\nHost: s\r\nContent-Length: 65536\r\n\r\n" + large[:5000], large[5000:], false, large},
		{"chunked body", "POST /a HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "2\r\ncd\r\n0\r\n\r\n", false, "abcd"},
		{"expectation", "POST /a HTTP/1.1\r\nHost: s\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", "ab", true, "ab"},
		{"HTTP/1.0", "POST /a HTTP/1.0\r\nContent-Length: 2\r\n\r\na", "b", false, "ab"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &site{t: t}
			served := s.serve(unwrapped, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				_, _ = w.Write(body)
			}))
			c := s.dial()
			c.send(tc.head)
			for s.Counts().Running == 0 {
				time.Sleep(time.Millisecond)
			}
			stopped := make(chan time.Duration, 1)
			go func() { stopped <- s.stop() }()
			// Longer than a stop waits for the rest of a head.
			time.Sleep(partialRequestTimeout + 100*time.Millisecond)
			if tc.continues {
				if line, err := c.reader.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
					t.Fatalf("interim response: got %q, %v, want 100", line, err)
				}
				_, _ = c.reader.ReadString('\n')
			}
			c.send(tc.rest)
			c.reader = bufio.NewReader(c.reader)
			c.want(tc.want, true)
			_ = c.Close()
			<-stopped
			if err := <-served; err != nil {
				t.Errorf("serve: %v", err)
			}
			if got := s.Counts().Cut; got != 0 {
				t.Errorf("connections cut: got %d, want 0", got)
			}
		})
	}
}
