package blupstream

import (
	"fmt"
	"io"
)

const (
	// maxShortBodyBytes limits the body of a response that carries nothing in its body.
	maxShortBodyBytes = 4 << 10
	// maxShortHeaderBytes limits the head of such a response.
	maxShortHeaderBytes = 8 << 10
	// maxSequenceBytes limits a response of a sequence, head and body.
	maxSequenceBytes = maxShortHeaderBytes + maxShortBodyBytes
)

// LongBodyError reports a response whose body goes on beyond the limit. It is no answer.
type LongBodyError struct {
	// Limit is the permitted length in bytes.
	Limit int
}

// Error implements error.
func (e LongBodyError) Error() string {
	return fmt.Sprintf("the body is longer than %d bytes", e.Limit)
}

// DiscardShort reads a body that carries nothing to its end. It returns a LongBodyError
// if there is more than a little of it. The rest is then still to come, so that the
// caller has to close the connection.
func DiscardShort(body io.Reader) error {
	count, err := io.Copy(io.Discard, io.LimitReader(body, maxShortBodyBytes+1))
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if count > maxShortBodyBytes {
		return LongBodyError{Limit: maxShortBodyBytes}
	}
	return nil
}
