// Package blresponse reads the responses of HTTP servers, which may be faulty: upstreams,
// the platform's store and other nodes. A broken response is an error with its fault, and
// never an answer: the server may have run the request.
package blresponse

import "errors"

// Fault is what makes a response broken.
type Fault string

// Values of Fault.
const (
	// FaultReset means that the connection was reset, or timed out, before the response
	// was complete.
	FaultReset Fault = "connection_reset"
)

// BrokenError reports a broken response.
type BrokenError struct {
	Fault  Fault
	Detail string
	// Cause is the error of the connection, if the fault is one of the connection.
	Cause error
}

// Error implements error.
func (e BrokenError) Error() string {
	return "broken response: " + e.Detail
}

// Unwrap returns the error of the connection.
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
