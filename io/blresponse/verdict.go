// Package blresponse reads the responses of HTTP servers, which may be faulty: upstreams,
// the platform's store and other nodes. A broken response is an error with its fault, and
// never an answer: the server may have run the request.
package blresponse

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"

	"golang.org/x/net/http/httpguts"

	"bergamotlead/core/blvalue"
)

// Fault is what makes a response broken.
type Fault string

// Values of Fault.
const (
	// FaultStatus means that the status is not one that ends a request.
	FaultStatus Fault = "invalid_status"
	// FaultFieldName means that the name of a field in a head or a trailer is no token
	// of HTTP. Another reader of the response may see another field, such as another
	// length of the body.
	FaultFieldName Fault = "invalid_field_name"
	// FaultHead means that a head or a trailer is malformed in another way.
	FaultHead Fault = "malformed_head"
	// FaultReset means that the connection was reset, or timed out, before the response
	// was complete.
	FaultReset Fault = "connection_reset"
)

// BrokenError reports a broken response.
type BrokenError struct {
	Fault  Fault
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
func FaultOf(err error) Fault {
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

// classify returns a BrokenError for an error of the parser of heads and trailers, and other errors as
// they are.
func classify(err error) error {
	var malformed textproto.ProtocolError
	if FaultOf(err) == "" && errors.As(err, &malformed) {
		return BrokenError{Fault: FaultHead, Detail: malformed.Error(), Cause: err}
	}
	return err
}

// CheckHead returns a BrokenError for the head of a final response that has an invalid
// status or an invalid field.
func CheckHead(status int, fields map[string][]string) error {
	if !blvalue.IsFinalStatus(status) {
		return BrokenError{Fault: FaultStatus, Detail: fmt.Sprintf("status %03d", status)}
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
				Fault: FaultFieldName, Detail: fmt.Sprintf("field name %q", name[:min(len(name), maxQuotedBytes)]),
			}
		}
	}
	return nil
}
