package blgrpc

import "strings"

// dialFailureText identifies the status of a call for which no connection was
// established. gRPC reports this only in the message: "connection error: desc =
// ...while dialing...".
const dialFailureText = "while dialing"

func isDialFailure(message string) bool {
	return strings.Contains(message, dialFailureText)
}
