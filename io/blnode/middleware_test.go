package blnode

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
)

// TestPanicBreaksResponse guards against a response that a fault cuts short and that
// looks whole to the caller.
func TestPanicBreaksResponse(t *testing.T) {
	var written bytes.Buffer
	n := &Node{logger: hclog.New(&hclog.LoggerOptions{Output: &written})}
	server := httptest.NewServer(n.recoverPanic(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("half"))
		_ = http.NewResponseController(w).Flush()
		panic("fault")
	})))
	response, err := http.Get(server.URL)
	if err != nil {
		t.Fatalf("get: %v", err)
	}
	body, err := io.ReadAll(response.Body)
	if err == nil {
		t.Errorf("body: got %q and its end, want an error", body)
	}
	_ = response.Body.Close()
	server.Close()
	if !strings.Contains(written.String(), "panic in HTTP handler") {
		t.Errorf("log: got %q, want the panic", written.String())
	}
}
