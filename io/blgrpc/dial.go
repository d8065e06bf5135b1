package blgrpc

import "strings"

// dialFailure marks the status of a call for which no connection was made.
// The library reports it as text alone: "connection error: desc = ...while
// dialing...".
const dialFailure = "while dialing"

func isDialFailure(message string) bool {
	return strings.Contains(message, dialFailure)
}
