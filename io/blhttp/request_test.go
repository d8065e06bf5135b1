package blhttp

import (
	"bufio"
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

func FuzzReadCall(f *testing.F) {
	f.Add("/pot/awa/total", "Bearer key", "500ms", []byte("1"))
	f.Add("/pot/%2F%2e/..", "bearer", "-1s", []byte{})
	f.Add("//", "", "x", bytes.Repeat([]byte{0}, 100))
	f.Fuzz(func(t *testing.T, path, authorization, timeout string, body []byte) {
		u, err := url.Parse(path)
		if err != nil || u.Host != "" {
			return
		}
		request := &http.Request{
			Method: http.MethodPost, URL: u, Body: http.NoBody, ContentLength: int64(len(body)),
			Header: http.Header{"Authorization": {authorization}, "Bergamotlead-Timeout": {timeout}},
		}
		if len(body) > 0 {
			request.Body = readCloser{bytes.NewReader(body)}
		}
		c, err := NativeProtocol{}.Read(request, Limits{BodyBytes: 1 << 10, Timeout: time.Second})
		if err != nil {
			return
		}
		if c.Request.Service == "" || c.Request.Key == "" || c.Request.Timeout <= 0 {
			t.Errorf("call: got %+v, want service, key and timeout", c.Request)
		}
		if _, ok := c.Header["Authorization"]; ok {
			t.Error("forwarded header: got Authorization, want none")
		}
	})
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }

func TestBodyIsBufferedOrStreamed(t *testing.T) {
	cases := []struct {
		name       string
		size       int
		replayable bool
	}{{"none", 0, true}, {"small", 100, true}, {"large", maxReplayBytes * 3, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(
				t.Context(), http.MethodPost, "http://x/pot/awa", strings.NewReader(strings.Repeat("7", c.size)))
			if err != nil {
				t.Fatalf("build request: %v", err)
			}
			got, err := NativeProtocol{}.Read(request, Limits{BodyBytes: 1 << 20, Timeout: time.Second})
			if err != nil {
				t.Fatalf("Read: got %v, want nil", err)
			}
			if got.Body.replayable() != c.replayable || got.Body.length != int64(c.size) {
				t.Errorf("body: got replayable %t, length %d, want %t, %d",
					got.Body.replayable(), got.Body.length, c.replayable, c.size)
			}
		})
	}
}

// TestReadKeepsEncoding guards against a key that is split, or a target that is sent on, in
// another encoding than the client's.
func TestReadKeepsEncoding(t *testing.T) {
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET /pot/a%2Fb|c/total?x=|d HTTP/1.1\r\nHost: pots\r\n\r\n")))
	if err != nil {
		t.Fatalf("ReadRequest: got %v, want nil", err)
	}
	got, err := NativeProtocol{}.Read(request, Limits{Timeout: time.Second})
	if err != nil {
		t.Fatalf("Read: got %v, want nil", err)
	}
	if want := "/pot/a%2Fb|c/total?x=|d"; got.URI != want {
		t.Errorf("URI: got %q, want %q", got.URI, want)
	}
	if got.Request.Key != "a/b|c" || got.Path != "total" {
		t.Errorf("key and path: got %q, %q, want %q, %q", got.Request.Key, got.Path, "a/b|c", "total")
	}
}
