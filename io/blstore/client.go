// Package blstore is a client of the platform's key-value store over HTTP, and
// encodes the values kept there.
package blstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"bergamotlead/core/blplatform"
)

// watchTimeout is how long the store keeps a watch request open if the entry does
// not change.
const watchTimeout = 10 * time.Second

// eraHeader is the header field in which the store names its era.
const eraHeader = "Bergamotlead-Store-Era"

// Client is an HTTP client of the store.
type Client struct {
	transport *Transport
}

// New returns a client of the store at address, which is an IP address and port.
func New(address string) *Client {
	return &Client{transport: NewTransport(address, eraHeader)}
}

// Era implements blplatform.EraReader.
func (c *Client) Era() blplatform.Era {
	return c.transport.Era()
}

// Observe has broken called with the error of each broken response.
func (c *Client) Observe(broken func(error)) {
	c.transport.Observe(broken)
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

// Get returns the entry of key. The entry of a missing key has revision zero.
func (c *Client) Get(ctx context.Context, key string) (blplatform.Entry, error) {
	var body entryBody
	response, err := c.transport.Call(ctx, http.MethodGet, "/kv/"+url.PathEscape(key), nil, &body)
	return entryOf(key, body, response, err)
}

// Watch waits until the revision of key differs from revision, at most for
// watchTimeout, and returns the current entry. After a restore of the store it
// doesn't wait, since the entry may have changed without a change of its number.
func (c *Client) Watch(ctx context.Context, key string, revision uint64) (blplatform.Entry, error) {
	if blplatform.FromEarlierEra(revision, c.transport.Era()) {
		return c.Get(ctx, key)
	}
	query := url.Values{
		"revision": {strconv.FormatUint(blplatform.RevisionNumber(revision), 10)},
		"wait_ms":  {strconv.FormatInt(watchTimeout.Milliseconds(), 10)},
	}
	var body entryBody
	response, err := c.transport.Watch(ctx, "/watch/"+url.PathEscape(key)+"?"+query.Encode(), MaxResponseBytes, &body)
	return entryOf(key, body, response, err)
}

// entryOf returns the entry in the response to a read.
func entryOf(key string, body entryBody, response Response, err error) (blplatform.Entry, error) {
	if err != nil {
		return blplatform.Entry{}, fmt.Errorf("get %s: %w", key, blplatform.UnavailableError{Cause: err})
	}
	if response.Status != http.StatusOK && response.Status != http.StatusNotFound {
		return blplatform.Entry{}, fmt.Errorf("get %s: %w", key, blplatform.UnavailableError{Cause: StatusError{Status: response.Status}})
	}
	return blplatform.Entry{Key: key, Value: body.Value, Revision: response.Revision(body.Revision)}, nil
}

// CompareAndSwap sets the value of key if its revision is still the given one, and
// attaches the key to the lease if one is given. ConflictError carries the current
// entry. A revision of an earlier era than the latest one known is not sent: see
// SwapFromEarlierEra.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, revision uint64, value []byte, lease blplatform.LeaseID,
) (blplatform.Entry, error) {
	if blplatform.FromEarlierEra(revision, c.transport.Era()) {
		return SwapFromEarlierEra(ctx, c, key)
	}
	var body entryBody
	request := casBody{Value: value, Revision: blplatform.RevisionNumber(revision), Lease: lease}
	response, err := c.transport.Call(ctx, http.MethodPut, "/kv/"+url.PathEscape(key), request, &body)
	if err != nil {
		return blplatform.Entry{}, fmt.Errorf("swap %s: %w", key, ClassifyWriteError(err))
	}
	entry := blplatform.Entry{Key: key, Value: body.Value, Revision: response.Revision(body.Revision)}
	switch response.Status {
	case http.StatusOK:
		entry.Value = value
		return entry, nil
	case http.StatusConflict:
		return entry, fmt.Errorf("swap %s: %w", key, blplatform.ConflictError{Current: entry})
	case http.StatusGone:
		return entry, fmt.Errorf("swap %s: %w", key, blplatform.LeaseLostError{ID: lease})
	case http.StatusServiceUnavailable:
		return entry, fmt.Errorf("swap %s: %w", key, blplatform.UnavailableError{Cause: StatusError{Status: response.Status}})
	}
	return entry, fmt.Errorf("swap %s: %w", key, blplatform.UnknownOutcomeError{Cause: StatusError{Status: response.Status}})
}

// NewLease creates a lease with the given time to live.
func (c *Client) NewLease(ctx context.Context, ttl time.Duration) (blplatform.LeaseID, error) {
	var body leaseBody
	response, err := c.transport.Call(ctx, http.MethodPost, "/leases", leaseBody{TTL: ttl.Milliseconds()}, &body)
	if err != nil {
		return "", fmt.Errorf("open lease: %w", ClassifyWriteError(err))
	}
	if response.Status != http.StatusOK {
		return "", fmt.Errorf("open lease: %w", blplatform.UnavailableError{Cause: StatusError{Status: response.Status}})
	}
	return body.ID, nil
}

// RenewLease renews a lease.
func (c *Client) RenewLease(ctx context.Context, id blplatform.LeaseID) error {
	return c.leaseCall(ctx, http.MethodPut, id)
}

// EndLease revokes a lease.
func (c *Client) EndLease(ctx context.Context, id blplatform.LeaseID) error {
	return c.leaseCall(ctx, http.MethodDelete, id)
}

func (c *Client) leaseCall(ctx context.Context, method string, id blplatform.LeaseID) error {
	response, err := c.transport.Call(ctx, method, "/leases/"+url.PathEscape(string(id)), nil, nil)
	if err != nil {
		return fmt.Errorf("%s lease %s: %w", method, id, ClassifyWriteError(err))
	}
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return fmt.Errorf("%s lease %s: %w", method, id, blplatform.LeaseLostError{ID: id})
	}
	return fmt.Errorf("%s lease %s: %w", method, id, blplatform.UnavailableError{Cause: StatusError{Status: response.Status}})
}
