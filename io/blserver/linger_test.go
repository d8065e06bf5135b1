package blserver

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"
)

// answerBytes is the size of an answer that fits into no socket buffer.
const answerBytes = 16 << 20

// TestAnswerIsResetBehindPipelinedRequest guards against a leaving server that closes a
// connection with unread bytes of a later request on it: the system answers these with
// a reset, which discards the part of the response that the caller hasn't received.
func TestAnswerIsResetBehindPipelinedRequest(t *testing.T) {
	s := &site{t: t}
	served := s.serve(unwrapped, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("a"), answerBytes))
	}))
	c := s.dial()
	s.Leave()
	c.send(get("/first"))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("response: got %v, want one", err)
	}
	defer func() { _ = response.Body.Close() }()
	// The head said Connection: close before this request was sent.
	c.send(get("/second"))
	time.Sleep(20 * time.Millisecond)
	body, err := io.ReadAll(response.Body)
	if err != nil || len(body) != answerBytes {
		t.Errorf("response: got %d bytes, %v, want %d", len(body), err, answerBytes)
	}
	_ = c.Close()
	s.stop()
	if err := <-served; err != nil {
		t.Errorf("serve: %v", err)
	}
}
