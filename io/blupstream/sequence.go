package blupstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bergamotlead/io/blresponse"
)

// confirmTimeout is how long an upstream may take to close the connection of a
// sequence after the last response.
const confirmTimeout = 300 * time.Millisecond

// UnconfirmedError reports a sequence whose connection the upstream did not close
// after the last response, or on which it sent more.
type UnconfirmedError struct{}

// Error implements error.
func (UnconfirmedError) Error() string {
	return "the upstream didn't end the connection after the last response"
}

// Sequence is a new connection for a known number of requests whose responses carry
// no ID. An upstream may send a response that belongs to no request; all later ones
// then pass for the answers to the wrong requests. So the responses prove nothing
// before Confirm has found that there were as many as requests.
type Sequence struct {
	connection *connection
	// left is the number of requests still to be sent.
	left int
}

// NewSequence connects to the upstream at address for count requests.
func NewSequence(ctx context.Context, address string, count int) (*Sequence, error) {
	c, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Sequence{connection: c, left: count}, nil
}

// SequenceResponse is a response without its body.
type SequenceResponse struct {
	Status int
	Header http.Header
	// Ends is set when the upstream takes no further requests on this connection.
	Ends bool
}

// Close closes the connection.
func (s *Sequence) Close() {
	s.connection.close()
}

// Exchange sends a request and reads the next response. With the last request it asks
// the upstream to close the connection.
func (s *Sequence) Exchange(request *http.Request) (SequenceResponse, error) {
	s.left--
	request.Close = s.left == 0
	stopCancel := context.AfterFunc(request.Context(), s.connection.close)
	defer stopCancel()
	if err := request.Write(s.connection); err != nil {
		return SequenceResponse{}, fmt.Errorf("write request: %w", err)
	}
	s.connection.limit.N = maxSequenceBytes
	response, err := blresponse.ReadResponse(s.connection.reader, request)
	if err != nil {
		return SequenceResponse{}, err //nolint:wrapcheck // the error says what was read
	}
	defer func() { _ = response.Body.Close() }()
	if err := DiscardShort(response.Body); err != nil {
		// Otherwise the body is read to its end when it is closed.
		s.connection.close()
		return SequenceResponse{}, err
	}
	return SequenceResponse{Status: response.StatusCode, Header: response.Header, Ends: request.Close || response.Close}, nil
}

// Confirm waits until the upstream closes the connection after the last response. It
// returns an UnconfirmedError if the upstream sends anything else, or nothing.
func (s *Sequence) Confirm() error {
	timer := time.AfterFunc(confirmTimeout, s.connection.close)
	defer timer.Stop()
	s.connection.limit.N = maxSequenceBytes
	if _, err := s.connection.reader.ReadByte(); !errors.Is(err, io.EOF) {
		return UnconfirmedError{}
	}
	return nil
}
