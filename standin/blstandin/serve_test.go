package blstandin

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 5 * time.Second

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// TestServeEndsOnSignal guards against a stand-in that fails, or goes on, when it is told
// to stop.
func TestServeEndsOnSignal(t *testing.T) {
	listener := listen(t)
	address := listener.Addr().String()
	_ = listener.Close()
	served := make(chan error, 1)
	go func() {
		served <- Serve(&http.Server{Addr: address, Handler: http.NotFoundHandler(), ReadHeaderTimeout: testTimeout})
	}()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	waitForAnswer(ctx, t, "http://"+address)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatalf("send signal: %v", err)
	}
	select {
	case err := <-served:
		if err != nil {
			t.Errorf("Serve: got %v, want nil", err)
		}
	case <-ctx.Done():
		t.Errorf("Serve: got no end within %s of the signal", testTimeout)
	}
}

func waitForAnswer(ctx context.Context, t *testing.T, url string) {
	t.Helper()
	for ctx.Err() == nil {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			t.Fatalf("build request: %v", err)
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("answer: got none within %s", testTimeout)
}

// TestServeReportsAddressInUse guards against a stand-in that ends without an error when it
// can't listen.
func TestServeReportsAddressInUse(t *testing.T) {
	address := listen(t).Addr().String()
	if err := Serve(&http.Server{Addr: address, ReadHeaderTimeout: testTimeout}); err == nil {
		t.Error("Serve: got nil, want an error")
	}
}
