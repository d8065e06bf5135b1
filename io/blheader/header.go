// Package blheader holds the names of header fields and the rules by which
// they pass between callers and upstreams.
package blheader

import "strings"

// The project's own header fields.
const (
	// Prefix begins every field of the project's own. Callers' are dropped.
	Prefix = "Bergamotlead-"
	// Outcome tells a caller what became of a request without an answer.
	Outcome = Prefix + "Outcome"
	// RequestID names a request in logs and traces.
	RequestID = Prefix + "Request-Id"
	// Timeout is how long a caller waits, such as 500ms.
	Timeout = Prefix + "Timeout"
	// Account names the client account to the upstream.
	Account = Prefix + "Client-Account"
	// Fence carries the fence of the grant to the upstream, as term.sequence.
	Fence = Prefix + "Fence"
	// Partition carries the partition of the key to the upstream.
	Partition = Prefix + "Partition"
	// NotRun is how an upstream says that it did not run a request. Its value
	// is NotRunShed or NotRunFence.
	NotRun = Prefix + "Not-Run"
	// Authorization carries the client key. No upstream sees it.
	Authorization = "Authorization"
	// TraceParent continues a trace.
	TraceParent = "Traceparent"
)

// The values of NotRun.
const (
	// NotRunShed means that the upstream has too much to do.
	NotRunShed = "shed"
	// NotRunFence means that the upstream takes no orders on this grant.
	NotRunFence = "fence"
)

// bearer begins the value of Authorization.
const bearer = "bearer "

// ClientKey returns the client key in the values of Authorization, or empty.
func ClientKey(values []string) string {
	if len(values) != 1 || len(values[0]) <= len(bearer) || !strings.EqualFold(values[0][:len(bearer)], bearer) {
		return ""
	}
	return strings.TrimSpace(values[0][len(bearer):])
}

// hopByHop lists the fields that concern one connection alone.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
		"Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Expect":
		return true
	}
	return false
}

// Forwarded returns the fields of a caller that the upstream gets: none that
// concern the connection, none that carry the client key, and none of the
// project's own, which a caller may not claim.
func Forwarded(header map[string][]string, clientKey string) map[string][]string {
	dropped := connectionFields(header)
	forwarded := make(map[string][]string, len(header))
	for name, values := range header {
		if hopByHop(name) || dropped[name] || name == Authorization || strings.HasPrefix(name, Prefix) ||
			carries(values, clientKey) {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}

// Answered returns the fields of an upstream that the caller gets.
func Answered(header map[string][]string) map[string][]string {
	dropped := connectionFields(header)
	answered := make(map[string][]string, len(header))
	for name, values := range header {
		if hopByHop(name) && name != "Content-Length" || dropped[name] || strings.HasPrefix(name, Prefix) {
			continue
		}
		answered[name] = values
	}
	return answered
}

// connectionFields returns the fields that Connection names.
func connectionFields(header map[string][]string) map[string]bool {
	var fields map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if fields == nil {
				fields = map[string]bool{}
			}
			fields[canonical(strings.TrimSpace(name))] = true
		}
	}
	return fields
}

func canonical(name string) string {
	text := []byte(strings.ToLower(name))
	upper := true
	for i, c := range text {
		if upper && c >= 'a' && c <= 'z' {
			text[i] = c - 'a' + 'A'
		}
		upper = c == '-'
	}
	return string(text)
}

func carries(values []string, clientKey string) bool {
	if clientKey == "" {
		return false
	}
	for _, value := range values {
		if strings.Contains(value, clientKey) {
			return true
		}
	}
	return false
}
