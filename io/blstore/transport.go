package blstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"bergamotlead/core/blplatform"
)

const (
	// largestAnswer bounds an answer of the store, in bytes: a value of a
	// megabyte in base 64, and its frame.
	largestAnswer = 2 << 20
	// idleConnections is the number of connections to the store that are kept.
	idleConnections = 8
	connectTimeout  = time.Second
)

// Transport carries calls with JSON bodies to a store over HTTP.
type Transport struct {
	base   string
	client *http.Client
}

// NewTransport returns a transport to address, an IP address and port.
func NewTransport(address string) *Transport {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
	return &Transport{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// StatusError reports an unexpected status of the store's answer.
type StatusError struct {
	Status int
}

// Error returns the status as text.
func (e StatusError) Error() string {
	return fmt.Sprintf("status %d", e.Status)
}

// WriteError tells a write that never left from one whose answer was lost.
func WriteError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return blplatform.UnavailableError{Cause: err}
	}
	return blplatform.UnknownOutcomeError{Cause: err}
}

// Call sends request, if there is one, and decodes the answer into answer, if
// that is wanted. The status of an unavailable store comes without an answer.
func (t *Transport) Call(ctx context.Context, method, path string, request, answer any) (int, error) {
	var payload io.Reader = http.NoBody
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return 0, fmt.Errorf("encode request: %w", err)
		}
		payload = bytes.NewReader(encoded)
	}
	call, err := http.NewRequestWithContext(ctx, method, t.base+path, payload)
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	response, err := t.client.Do(call)
	if err != nil {
		return 0, fmt.Errorf("call store: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, largestAnswer))
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	if answer == nil || len(body) == 0 || response.StatusCode == http.StatusServiceUnavailable {
		return response.StatusCode, nil
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return 0, fmt.Errorf("decode answer: %w", err)
	}
	return response.StatusCode, nil
}
