package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// reply is the status, era and body of an answer of the store.
type reply struct {
	status int
	era    string
	entry  entryBody
}

// client calls the store over HTTP.
type client struct {
	t   *testing.T
	srv *httptest.Server
}

func newClient(t *testing.T) client {
	t.Helper()
	srv := httptest.NewServer(newHandler(newState()))
	t.Cleanup(srv.Close)
	// A connection for each call, since net/http repeats a call on a kept one.
	srv.Client().Transport = &http.Transport{DisableKeepAlives: true}
	return client{t: t, srv: srv}
}

func (c client) call(method, path, body string) (reply, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, c.srv.URL+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	response, err := c.srv.Client().Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, err
	}
	re := reply{status: response.StatusCode, era: response.Header.Get(eraHeader)}
	if re.status != http.StatusServiceUnavailable {
		err = json.Unmarshal(text, &re.entry)
	}
	return re, err
}

// must returns the answer to a call and fails the test if there is none with the
// given status.
func (c client) must(method, path, body string, status int) reply {
	c.t.Helper()
	re, err := c.call(method, path, body)
	if err != nil || re.status != status {
		c.t.Fatalf("%s %s: got status %d, %v, want %d", method, path, re.status, err, status)
	}
	return re
}

const (
	putA       = `{"value":"YQ==","expected_revision":0}`
	restoreNow = `{"restore_seconds":60}`
)

func TestEveryAnswerNamesTheEra(t *testing.T) {
	c := newClient(t)
	for _, want := range []string{"0", "1", "2"} {
		c.must(http.MethodPut, "/kv/a", putA, http.StatusOK)
		calls := []struct {
			method, path, body string
			status             int
		}{
			{http.MethodGet, "/kv/a", "", http.StatusOK},
			{http.MethodPut, "/kv/a", putA, http.StatusConflict},
			{http.MethodGet, "/watch/a?revision=0&wait_ms=1", "", http.StatusOK},
			{http.MethodPost, "/leases", `{"ttl_ms":1000}`, http.StatusOK},
			{http.MethodPut, "/leases/none", "", http.StatusGone},
		}
		for _, ca := range calls {
			if got := c.must(ca.method, ca.path, ca.body, ca.status).era; got != want {
				t.Errorf("era of %s %s: got %q, want %q", ca.method, ca.path, got, want)
			}
		}
		c.must(http.MethodPost, "/faults", restoreNow, http.StatusOK)
	}
}

func TestStoreIsUnavailableDuringRestore(t *testing.T) {
	c := newClient(t)
	c.must(http.MethodPost, "/faults", `{"restore_seconds":60,"restore_down_ms":100}`, http.StatusOK)
	if got := c.must(http.MethodGet, "/kv/a", "", http.StatusServiceUnavailable).era; got != "0" {
		t.Errorf("era during the restore: got %q, want 0", got)
	}
	time.Sleep(100 * time.Millisecond)
	if got := c.must(http.MethodGet, "/kv/a", "", http.StatusOK).era; got != "1" {
		t.Errorf("era after the restore: got %q, want 1", got)
	}
}

func TestWatchBeyondTheRevisionIsRefused(t *testing.T) {
	c := newClient(t)
	revision := c.must(http.MethodPut, "/kv/a", putA, http.StatusOK).entry.Revision
	if revision != 1 {
		t.Fatalf("revision: got %d, want 1", revision)
	}
	c.must(http.MethodGet, "/watch/a?revision=1&wait_ms=1", "", http.StatusOK)
	c.must(http.MethodPost, "/faults", restoreNow, http.StatusOK)
	c.must(http.MethodGet, "/watch/a?revision=1&wait_ms=1", "", http.StatusGone)
}

// waitingWatch is a watch that waits for its answer.
type waitingWatch struct {
	client client
	result chan error
}

func (w waitingWatch) run() {
	_, err := w.client.call(http.MethodGet, "/watch/a?revision=1&wait_ms=5000", "")
	w.result <- err
}

func TestRestoreCutsWaitingWatches(t *testing.T) {
	c := newClient(t)
	c.must(http.MethodPut, "/kv/a", putA, http.StatusOK)
	for _, fault := range []string{restoreNow, `{"restore_seconds":60,"restore_down_ms":50}`} {
		if c.must(http.MethodGet, "/kv/a", "", http.StatusOK).entry.Revision == 0 {
			c.must(http.MethodPut, "/kv/a", putA, http.StatusOK)
		}
		w := waitingWatch{client: c, result: make(chan error, 1)}
		go w.run()
		time.Sleep(50 * time.Millisecond)
		c.must(http.MethodPost, "/faults", fault, http.StatusOK)
		select {
		case err := <-w.result:
			if err == nil {
				t.Errorf("watch after %s: got an answer, want a closed connection", fault)
			}
		case <-time.After(time.Second):
			t.Errorf("watch after %s: got none, want a closed connection", fault)
		}
	}
}
