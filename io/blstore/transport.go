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
	// maxResponseBytes limits a response of the store: a value of one megabyte
	// in base64 and the JSON around it.
	maxResponseBytes = 2 << 20
	// maxIdleConnections limits the idle connections to the store that are kept
	// open.
	maxIdleConnections = 8
	connectTimeout     = time.Second
)

// Transport calls a store over HTTP with JSON bodies.
type Transport struct {
	base   string
	client *http.Client
}

// NewTransport returns a transport to the store at address, which is an IP address
// and port.
func NewTransport(address string) *Transport {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}
	return &Transport{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// StatusError reports an unexpected HTTP status of the store.
type StatusError struct {
	Status int
}

// Error implements error.
func (e StatusError) Error() string {
	return fmt.Sprintf("status %d", e.Status)
}

// ClassifyWriteError classifies the error of a write. It returns an
// UnavailableError if connecting to the store failed, so that the write was never
// sent, and an UnknownOutcomeError otherwise, because the write may have taken
// effect.
func ClassifyWriteError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return blplatform.UnavailableError{Cause: err}
	}
	return blplatform.UnknownOutcomeError{Cause: err}
}

// Call sends request as the body, unless it is nil, and decodes the response body
// into result, unless that is nil. The body is not decoded if the status says that
// the store is unavailable.
func (t *Transport) Call(ctx context.Context, method, path string, request, result any) (int, error) {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, fmt.Errorf("read answer: %w", err)
	}
	if result == nil || len(body) == 0 || response.StatusCode == http.StatusServiceUnavailable {
		return response.StatusCode, nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return 0, fmt.Errorf("decode answer: %w", err)
	}
	return response.StatusCode, nil
}
