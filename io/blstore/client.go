// Package blstore speaks to the platform's key-value store over HTTP.
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
	"net/url"
	"strconv"
	"time"

	"bergamotlead/core/blplatform"
)

// largestAnswer bounds an answer of the store, in bytes: a value of a megabyte
// in base 64, and its frame.
const largestAnswer = 2 << 20

// idleConnections is the number of connections to the store that are kept.
const idleConnections = 8

// watchWait is how long the store holds a watch open.
const watchWait = 10 * time.Second

// Client is the store over HTTP.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client of the store at address, an IP address and port.
func New(address string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{base: "http://" + address, client: &http.Client{Transport: transport}}
}

type entryBody struct {
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

type casBody struct {
	Value    []byte             `json:"value"`
	Revision uint64             `json:"expected_revision"`
	Lease    blplatform.LeaseID `json:"lease,omitempty"`
}

type leaseBody struct {
	ID  blplatform.LeaseID `json:"id,omitempty"`
	TTL int64              `json:"ttl_ms,omitempty"`
}

// Get returns the entry of key.
func (c *Client) Get(ctx context.Context, key string) (blplatform.Entry, error) {
	return c.read(ctx, key, "/kv/"+url.PathEscape(key))
}

// Watch waits until the revision of key differs from revision.
func (c *Client) Watch(ctx context.Context, key string, revision uint64) (blplatform.Entry, error) {
	query := url.Values{
		"revision": {strconv.FormatUint(revision, 10)},
		"wait_ms":  {strconv.FormatInt(watchWait.Milliseconds(), 10)},
	}
	return c.read(ctx, key, "/watch/"+url.PathEscape(key)+"?"+query.Encode())
}

func (c *Client) read(ctx context.Context, key, path string) (blplatform.Entry, error) {
	var body entryBody
	status, err := c.call(ctx, http.MethodGet, path, nil, &body)
	if err != nil {
		return blplatform.Entry{}, fmt.Errorf("get %s: %w", key, blplatform.UnavailableError{Cause: err})
	}
	if status != http.StatusOK && status != http.StatusNotFound {
		return blplatform.Entry{}, fmt.Errorf("get %s: %w", key, blplatform.UnavailableError{Cause: StatusError{Status: status}})
	}
	return blplatform.Entry{Key: key, Value: body.Value, Revision: body.Revision}, nil
}

// CompareAndSwap sets key if it is still at revision.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, revision uint64, value []byte, lease blplatform.LeaseID,
) (blplatform.Entry, error) {
	var body entryBody
	request := casBody{Value: value, Revision: revision, Lease: lease}
	status, err := c.call(ctx, http.MethodPut, "/kv/"+url.PathEscape(key), request, &body)
	if err != nil {
		return blplatform.Entry{}, fmt.Errorf("swap %s: %w", key, writeError(err))
	}
	entry := blplatform.Entry{Key: key, Value: body.Value, Revision: body.Revision}
	switch status {
	case http.StatusOK:
		entry.Value = value
		return entry, nil
	case http.StatusConflict:
		return entry, fmt.Errorf("swap %s: %w", key, blplatform.ConflictError{Current: entry})
	case http.StatusGone:
		return entry, fmt.Errorf("swap %s: %w", key, blplatform.LeaseLostError{ID: lease})
	case http.StatusServiceUnavailable:
		return entry, fmt.Errorf("swap %s: %w", key, blplatform.UnavailableError{Cause: StatusError{Status: status}})
	}
	return entry, fmt.Errorf("swap %s: %w", key, blplatform.UnknownOutcomeError{Cause: StatusError{Status: status}})
}

// NewLease opens a lease of the given time to live.
func (c *Client) NewLease(ctx context.Context, ttl time.Duration) (blplatform.LeaseID, error) {
	var body leaseBody
	status, err := c.call(ctx, http.MethodPost, "/leases", leaseBody{TTL: ttl.Milliseconds()}, &body)
	if err != nil {
		return "", fmt.Errorf("open lease: %w", writeError(err))
	}
	if status != http.StatusOK {
		return "", fmt.Errorf("open lease: %w", blplatform.UnavailableError{Cause: StatusError{Status: status}})
	}
	return body.ID, nil
}

// RenewLease extends a lease.
func (c *Client) RenewLease(ctx context.Context, id blplatform.LeaseID) error {
	return c.leaseCall(ctx, http.MethodPut, id)
}

// EndLease ends a lease.
func (c *Client) EndLease(ctx context.Context, id blplatform.LeaseID) error {
	return c.leaseCall(ctx, http.MethodDelete, id)
}

func (c *Client) leaseCall(ctx context.Context, method string, id blplatform.LeaseID) error {
	status, err := c.call(ctx, method, "/leases/"+url.PathEscape(string(id)), nil, nil)
	if err != nil {
		return fmt.Errorf("%s lease %s: %w", method, id, writeError(err))
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return fmt.Errorf("%s lease %s: %w", method, id, blplatform.LeaseLostError{ID: id})
	}
	return fmt.Errorf("%s lease %s: %w", method, id, blplatform.UnavailableError{Cause: StatusError{Status: status}})
}

// StatusError reports an unexpected status of the store's answer.
type StatusError struct {
	Status int
}

// Error returns the status as text.
func (e StatusError) Error() string {
	return fmt.Sprintf("status %d", e.Status)
}

// writeError tells a write that never left from one whose answer was lost.
func writeError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return blplatform.UnavailableError{Cause: err}
	}
	return blplatform.UnknownOutcomeError{Cause: err}
}

func (c *Client) call(ctx context.Context, method, path string, request, answer any) (int, error) {
	var payload io.Reader = http.NoBody
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return 0, fmt.Errorf("encode request: %w", err)
		}
		payload = bytes.NewReader(encoded)
	}
	call, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	response, err := c.client.Do(call)
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
