// Package blhttp implements the HTTP front end for callers.
package blhttp

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
)

const (
	// maxKeyBytes limits the key in a caller's URL.
	maxKeyBytes = 512
	// maxTimeout limits the timeout that a caller may request.
	maxTimeout     = 5 * time.Minute
	requestIDBytes = 12
)

// Call is a decoded request of a caller.
type Call struct {
	Request blvalue.Request
	// Path is the part of the URL that routes are matched against.
	Path string
	// URI is the path and query sent to the upstream.
	URI       string
	RequestID string
	// Header holds the fields forwarded to the upstream, without the client key.
	Header map[string][]string
	Body   Body
}

// StalledError reports a request whose body has stopped arriving before it could be passed
// on.
type StalledError struct{}

// Error implements error.
func (StalledError) Error() string {
	return "the body has stopped arriving"
}

// RequestTarget returns the path and query of a request as its client sent them. An encoding
// of the parsed URL may name another resource: it is made from the decoded path, in which an
// encoded slash is a slash, if the client sent a character that it should have encoded.
func RequestTarget(r *http.Request) string {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") || target == "*" {
		return target
	}
	_, rest, absolute := strings.Cut(target, "://")
	if !absolute {
		return r.URL.RequestURI()
	}
	start := strings.IndexAny(rest, "/?")
	switch {
	case start < 0:
		return "/"
	case rest[start] == '?':
		return "/" + rest[start:]
	}
	return rest[start:]
}

// EscapedPath returns the path of a URL as its client encoded it.
func EscapedPath(u *url.URL) string {
	if u.RawPath != "" {
		return u.RawPath
	}
	return u.EscapedPath()
}

// NativeProtocol is the project's own protocol for callers, in which a URL has the
// form /service/key, optionally followed by more path segments.
type NativeProtocol struct{}

// MalformedError reports a request that can't be decoded.
type MalformedError struct {
	Reason string
}

// Error implements error.
func (e MalformedError) Error() string {
	return "malformed request: " + e.Reason
}

// TooLargeError reports a request body that exceeds the limit, in bytes.
type TooLargeError struct {
	Limit int64
}

// Error implements error.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("the body is above %d bytes", e.Limit)
}

// Read implements Protocol.
func (NativeProtocol) Read(r *http.Request, limits Limits) (Call, error) {
	service, key, path, err := splitPath(r.URL)
	if err != nil {
		return Call{}, err
	}
	timeout, err := readTimeout(r.Header.Get(blheader.Timeout), limits.Timeout)
	if err != nil {
		return Call{}, err
	}
	clientKey := blheader.ClientKey(r.Header[blheader.Authorization])
	target := RequestTarget(r)
	if clientKey != "" && strings.Contains(target, clientKey) {
		return Call{}, MalformedError{Reason: "the URL holds the client key"}
	}
	call := Call{
		Request: blvalue.Request{
			Service: service, Key: key, Method: r.Method, KeyDigest: KeyDigest(clientKey), Timeout: timeout,
		},
		Path: path, URI: target, RequestID: newRequestID(),
	}
	if call.Body, err = ReadBody(r, limits, call); err != nil {
		return Call{}, err
	}
	call.Header = blheader.FilterRequest(r.Header, clientKey)
	return call, nil
}

func splitPath(u *url.URL) (blvalue.ServiceName, blvalue.Key, string, error) {
	parts := strings.SplitN(strings.TrimPrefix(EscapedPath(u), "/"), "/", 3)
	if len(parts) < 2 || parts[0] == "" || parts[1] == "" {
		return "", "", "", MalformedError{Reason: "want the path /service/key"}
	}
	key, err := url.PathUnescape(parts[1])
	if err != nil || len(key) > maxKeyBytes {
		return "", "", "", MalformedError{Reason: fmt.Sprintf("want a key of at most %d bytes", maxKeyBytes)}
	}
	path := ""
	if len(parts) == 3 {
		path = parts[2]
	}
	return blvalue.ServiceName(parts[0]), blvalue.Key(key), path, nil
}

func readTimeout(text string, fallback time.Duration) (time.Duration, error) {
	if text == "" {
		return fallback, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, MalformedError{Reason: blheader.Timeout + " wants a duration up to " + maxTimeout.String()}
	}
	return timeout, nil
}

// KeyDigest returns the SHA-256 digest in hexadecimal by which a client key is
// identified, or the empty string if there is no key.
func KeyDigest(clientKey string) string {
	if clientKey == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(clientKey))
	return hex.EncodeToString(sum[:])
}

func newRequestID() string {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
