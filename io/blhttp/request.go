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

// call is a caller's request as it was read.
type call struct {
	request   blvalue.Request
	path      string
	uri       string
	requestID string
	header    map[string][]string
	body      callBody
}

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

// readCall reads what decisions and the upstream need of r. The URL is
// /service/key and anything after it.
func readCall(r *http.Request, bodyLimit int64, defaultTimeout time.Duration) (call, error) {
	service, key, path, err := splitPath(r.URL)
	if err != nil {
		return call{}, err
	}
	timeout, err := readTimeout(r.Header.Get(blheader.Timeout), defaultTimeout)
	if err != nil {
		return call{}, err
	}
	clientKey := blheader.ClientKey(r.Header[blheader.Authorization])
	if clientKey != "" && strings.Contains(r.URL.RequestURI(), clientKey) {
		return call{}, MalformedError{What: "the URL holds the client key"}
	}
	body, err := readBody(r, bodyLimit)
	if err != nil {
		return call{}, err
	}
	return call{
		request: blvalue.Request{
			Service: service, Key: key, Method: r.Method, KeyDigest: digest(clientKey), Timeout: timeout,
		},
		path: path, uri: r.URL.RequestURI(), requestID: newRequestID(),
		header: blheader.Forwarded(r.Header, clientKey), body: body,
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

// digest returns the digest by which a client key is known, or empty for none.
func digest(clientKey string) string {
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

// callBody is a request's body, of which a small one is kept whole.
type callBody struct {
	kept   []byte
	stream io.Reader
	length int64
}

// replayable reports whether the body can be sent again.
func (b callBody) replayable() bool {
	return b.stream == nil
}

// reader returns the body, or nil when there is none.
func (b callBody) reader() io.Reader {
	if b.length == 0 {
		return nil
	}
	if b.stream == nil {
		return bytes.NewReader(b.kept)
	}
	return io.MultiReader(bytes.NewReader(b.kept), b.stream)
}

func readBody(r *http.Request, limit int64) (callBody, error) {
	if r.ContentLength > limit {
		return callBody{}, TooLargeError{Limit: limit}
	}
	if r.Body == nil || r.ContentLength == 0 {
		return callBody{}, nil
	}
	limited := http.MaxBytesReader(nil, r.Body, limit)
	kept := make([]byte, 0, min(max(r.ContentLength, bytes.MinRead), replayBytes))
	buffer := bytes.NewBuffer(kept)
	_, err := io.CopyN(buffer, limited, replayBytes)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		return callBody{kept: buffer.Bytes(), length: int64(buffer.Len())}, nil
	case errors.As(err, &large):
		return callBody{}, TooLargeError{Limit: limit}
	case err != nil:
		return callBody{}, MalformedError{What: "the body broke off"}
	}
	return callBody{kept: buffer.Bytes(), stream: limited, length: r.ContentLength}, nil
}
