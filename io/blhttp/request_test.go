package blhttp

import (
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
		c, err := readCall(request, 1<<10, time.Second)
		if err != nil {
			return
		}
		if c.request.Service == "" || c.request.Key == "" || c.request.Timeout <= 0 {
			t.Errorf("call: got %+v, want service, key and timeout", c.request)
		}
		if _, ok := c.header["Authorization"]; ok {
			t.Error("forwarded header: got Authorization, want none")
		}
	})
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }

func TestBodyIsKeptOrStreamed(t *testing.T) {
	cases := []struct {
		name       string
		size       int
		replayable bool
	}{{"none", 0, true}, {"small", 100, true}, {"large", replayBytes * 3, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(
				t.Context(), http.MethodPost, "http://x/pot/awa", strings.NewReader(strings.Repeat("7", c.size)))
			if err != nil {
				t.Fatalf("build request: %v", err)
			}
			got, err := readCall(request, 1<<20, time.Second)
			if err != nil {
				t.Fatalf("readCall: got %v, want nil", err)
			}
			if got.body.replayable() != c.replayable || got.body.length != int64(c.size) {
				t.Errorf("body: got replayable %t, length %d, want %t, %d",
					got.body.replayable(), got.body.length, c.replayable, c.size)
			}
		})
	}
}
