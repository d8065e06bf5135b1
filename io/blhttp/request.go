// Package blhttp is the HTTP front end for callers.
package blhttp

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
)

const (
	// longestKey bounds the key in a caller's URL, in bytes.
	longestKey = 512
	// replayBytes is the size up to which a body is kept for another attempt.
	replayBytes = 64 << 10
	// longestTimeout bounds the time that a caller may name.
	longestTimeout = 5 * time.Minute
	requestIDBytes = 12
)

// Call is a caller's request as it was read.
type Call struct {
	Request blvalue.Request
	// Path is the part of the URL by which a route is found.
	Path string
	// URI is the path and query that the upstream gets.
	URI       string
	RequestID string
	// Header holds the fields that the upstream gets, without the client key.
	Header map[string][]string
	Body   Body
}

// Own is the project's own interface for callers: the URL is /service/key and
// anything after it.
type Own struct{}

// MalformedError reports a request that can't be read.
type MalformedError struct {
	What string
}

// Error returns the fault as text.
func (e MalformedError) Error() string {
	return "malformed request: " + e.What
}

// TooLargeError reports a body above the limit.
type TooLargeError struct {
	Limit int64
}

// Error returns the fault as text.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("the body is above %d bytes", e.Limit)
}

// Read implements Dialect.
func (Own) Read(r *http.Request, limits Limits) (Call, error) {
	service, key, path, err := splitPath(r.URL)
	if err != nil {
		return Call{}, err
	}
	timeout, err := readTimeout(r.Header.Get(blheader.Timeout), limits.Timeout)
	if err != nil {
		return Call{}, err
	}
	clientKey := blheader.ClientKey(r.Header[blheader.Authorization])
	if clientKey != "" && strings.Contains(r.URL.RequestURI(), clientKey) {
		return Call{}, MalformedError{What: "the URL holds the client key"}
	}
	body, err := ReadBody(r, limits.BodyBytes)
	if err != nil {
		return Call{}, err
	}
	return Call{
		Request: blvalue.Request{
			Service: service, Key: key, Method: r.Method, KeyDigest: Digest(clientKey), Timeout: timeout,
		},
		Path: path, URI: r.URL.RequestURI(), RequestID: newRequestID(),
		Header: blheader.Forwarded(r.Header, clientKey), Body: body,
	}, nil
}

func splitPath(u *url.URL) (blvalue.ServiceName, blvalue.Key, string, error) {
	parts := strings.SplitN(strings.TrimPrefix(u.EscapedPath(), "/"), "/", 3)
	if len(parts) < 2 || parts[0] == "" || parts[1] == "" {
		return "", "", "", MalformedError{What: "want the path /service/key"}
	}
	key, err := url.PathUnescape(parts[1])
	if err != nil || len(key) > longestKey {
		return "", "", "", MalformedError{What: fmt.Sprintf("want a key of at most %d bytes", longestKey)}
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
	if err != nil || timeout <= 0 || timeout > longestTimeout {
		return 0, MalformedError{What: blheader.Timeout + " wants a duration up to " + longestTimeout.String()}
	}
	return timeout, nil
}

// Digest returns the digest by which a client key is known, or empty for none.
func Digest(clientKey string) string {
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

// Body is a request's body, of which a small one is kept whole.
type Body struct {
	kept   []byte
	stream io.Reader
	length int64
}

// replayable reports whether the body can be sent again.
func (b Body) replayable() bool {
	return b.stream == nil
}

// reader returns the body, or nil when there is none.
func (b Body) reader() io.Reader {
	if b.length == 0 {
		return nil
	}
	if b.stream == nil {
		return bytes.NewReader(b.kept)
	}
	return io.MultiReader(bytes.NewReader(b.kept), b.stream)
}

// ReadBody reads the body of r, at most limit bytes.
func ReadBody(r *http.Request, limit int64) (Body, error) {
	if r.ContentLength > limit {
		return Body{}, TooLargeError{Limit: limit}
	}
	if r.Body == nil || r.ContentLength == 0 {
		return Body{}, nil
	}
	limited := http.MaxBytesReader(nil, r.Body, limit)
	kept := make([]byte, 0, min(max(r.ContentLength, bytes.MinRead), replayBytes))
	buffer := bytes.NewBuffer(kept)
	_, err := io.CopyN(buffer, limited, replayBytes)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		return Body{kept: buffer.Bytes(), length: int64(buffer.Len())}, nil
	case errors.As(err, &large):
		return Body{}, TooLargeError{Limit: limit}
	case err != nil:
		return Body{}, MalformedError{What: "the body broke off"}
	}
	return Body{kept: buffer.Bytes(), stream: limited, length: r.ContentLength}, nil
}
