package blvalue

// ResponseFault is what makes a response broken. A broken response is no answer: the request
// may have run.
type ResponseFault string

// The faults of responses, as logs and metrics name them.
const (
	// FaultStatus means that the status is not one that ends a request.
	FaultStatus ResponseFault = "invalid_status"
	// FaultFieldName means that the name of a field in a head or a trailer is no token
	// of HTTP. Another reader of the response may see another field, such as another
	// length of the body.
	FaultFieldName ResponseFault = "invalid_field_name"
	// FaultHead means that a head or a trailer is malformed in another way.
	FaultHead ResponseFault = "malformed_head"
	// FaultReset means that the connection was reset, or timed out, before the response
	// was complete.
	FaultReset ResponseFault = "connection_reset"
	// FaultCut means that the connection ended in order before the end that the response
	// announced for its body.
	FaultCut ResponseFault = "cut_short"
)
