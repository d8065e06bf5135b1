package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"bergamotlead/io/blresponse"
)

// Exit codes.
const (
	exitFailed   = 1
	exitConflict = 3
	exitUnknown  = 4
)

const (
	callTimeout    = 30 * time.Second
	connectTimeout = 10 * time.Second
)

// client calls the operators' interface of a node.
type client struct {
	base      string
	tokenFile string
	json      bool
	http      *http.Client
}

func newClient(args arguments) *client {
	return &client{
		base: "http://" + args.Node, tokenFile: args.TokenFile, json: args.Output == "json",
		http: &http.Client{Timeout: callTimeout, Transport: newTransport()},
	}
}

func newTransport() http.RoundTripper {
	return blresponse.NewTransport(&http.Transport{
		Proxy: http.ProxyFromEnvironment,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return blresponse.Dial(ctx, &net.Dialer{Timeout: connectTimeout}, network, address)
		},
	})
}

// responseError reports an HTTP response with a status of 300 or above.
type responseError struct {
	status int
	text   string
}

// Error implements error.
func (e responseError) Error() string {
	return fmt.Sprintf("the node answered %d: %s", e.status, strings.TrimSpace(e.text))
}

// unansweredError reports a change that the node may have made without an answer that could
// be read.
type unansweredError struct {
	cause error
}

// Error implements error.
func (e unansweredError) Error() string {
	return "unknown: " + e.cause.Error() + "; look before you try again"
}

// Unwrap returns the reason why there is no answer.
func (e unansweredError) Unwrap() error { return e.cause }

// unanswered returns the error of a call without an answer. It is an unansweredError for a
// change that may have reached the node.
func unanswered(method string, err error) error {
	var operation *net.OpError
	if method == http.MethodGet || errors.As(err, &operation) && operation.Op == "dial" {
		return err
	}
	return unansweredError{cause: err}
}

func exitCode(err error) int {
	if errors.As(err, &unansweredError{}) {
		return exitUnknown
	}
	var change changeError
	if errors.As(err, &change) {
		return change.exitCode()
	}
	var response responseError
	if !errors.As(err, &response) {
		return exitFailed
	}
	switch response.status {
	case http.StatusConflict:
		return exitConflict
	case http.StatusGatewayTimeout:
		return exitUnknown
	}
	return exitFailed
}

// call sends a request and decodes a JSON response into the given value, also
// when the status is an error.
func (c *client) call(method, path string, body, into any) error {
	var payload io.Reader = http.NoBody
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, c.base+path, payload)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	if err := c.authorize(request); err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unanswered(method, fmt.Errorf("call node: %w", err))
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return unanswered(method, fmt.Errorf("read answer: %w", err))
	}
	if into != nil && strings.HasPrefix(response.Header.Get("Content-Type"), "application/json") {
		if err := json.Unmarshal(text, into); err != nil {
			return unanswered(method, fmt.Errorf("decode answer: %w", err))
		}
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return responseError{status: response.StatusCode, text: string(text)}
	}
	return nil
}

func (c *client) authorize(request *http.Request) error {
	if c.tokenFile == "" {
		return nil
	}
	token, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return fmt.Errorf("read token: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	return nil
}

// printJSON writes a value as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
