package blresponse

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ReadResponse reads a response, which may be an interim one. It returns a BrokenError for
// a broken head, and the body returns one for a broken trailer instead of its end.
func ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", classify(err))
	}
	if err := checkResponse(response); err != nil {
		return nil, err
	}
	response.Body = trailerReader{ReadCloser: response.Body, response: response}
	return response, nil
}

// checkResponse returns a BrokenError for a response with a broken head, of which the names
// are a part that it announces for the trailer.
func checkResponse(response *http.Response) error {
	if IsInterim(response.StatusCode) {
		return CheckFields(response.Header)
	}
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		return err
	}
	return CheckFields(response.Trailer)
}

// trailerReader reads the body of a response and checks the trailer after it.
type trailerReader struct {
	io.ReadCloser

	response *http.Response
}

// Read implements io.Reader.
func (t trailerReader) Read(buffer []byte) (int, error) {
	count, err := t.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return count, classifyBody(err)
	}
	if broken := CheckFields(t.response.Trailer); broken != nil {
		return count, broken
	}
	return count, err //nolint:wrapcheck // io.EOF has to reach the reader as it is
}
