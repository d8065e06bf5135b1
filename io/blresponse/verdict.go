// Package blresponse reads the responses of HTTP servers, which may be faulty: upstreams,
// the platform's store and other nodes. A broken response is an error with its fault, and
// never an answer: the server may have run the request.
package blresponse

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"

	"golang.org/x/net/http/httpguts"

	"bergamotlead/core/blvalue"
)

// BrokenError reports a broken response.
type BrokenError struct {
	Fault  blvalue.ResponseFault
	Detail string
	// Cause is the error of the connection or of the parser, if there is one.
	Cause error
}

// Error implements error.
func (e BrokenError) Error() string {
	return "broken response: " + e.Detail
}

// Unwrap returns the cause.
func (e BrokenError) Unwrap() error { return e.Cause }

// FaultOf returns the fault of the broken response that err reports, or nothing if err
// reports none.
func FaultOf(err error) blvalue.ResponseFault {
	var broken BrokenError
	if errors.As(err, &broken) {
		return broken.Fault
	}
	return ""
}

// IsInterim reports whether a response precedes the final one. No request asks for
// another protocol, so 101 is not expected.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// classify returns a BrokenError for an error of the parser of heads and trailers, and other
// errors as they are.
func classify(err error) error {
	var malformed textproto.ProtocolError
	if FaultOf(err) == "" && errors.As(err, &malformed) {
		return BrokenError{Fault: blvalue.FaultHead, Detail: malformed.Error(), Cause: err}
	}
	return err
}

// classifyBody does the same for an error of a body, where a BrokenError also stands for an
// end before that of the body.
func classifyBody(err error) error {
	if FaultOf(err) == "" && errors.Is(err, io.ErrUnexpectedEOF) {
		return BrokenError{Fault: blvalue.FaultCut, Detail: "the body was cut short", Cause: err}
	}
	return classify(err)
}

// CheckHead returns a BrokenError for the head of a final response that has an invalid
// status or an invalid field.
func CheckHead(status int, fields map[string][]string) error {
	if !blvalue.IsFinalStatus(status) {
		return BrokenError{Fault: blvalue.FaultStatus, Detail: fmt.Sprintf("status %03d", status)}
	}
	return CheckFields(fields)
}

// maxQuotedBytes limits how much of a field name is quoted in an error.
const maxQuotedBytes = 64

// CheckFields returns a BrokenError for fields of a head or a trailer of which one has an
// invalid name. Readers differ in what they take a name with a blank for: net/http keeps
// the blank, so that "Content-Length : 2" sets no length, and others drop it.
func CheckFields(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return BrokenError{
				Fault: blvalue.FaultFieldName, Detail: fmt.Sprintf("field name %q", name[:min(len(name), maxQuotedBytes)]),
			}
		}
	}
	return nil
}
