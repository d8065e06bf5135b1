// Package blheader defines header field names and filters the header fields that
// are forwarded between callers and upstreams.
package blheader

import "strings"

// Header field names.
const (
	// Prefix is the prefix of the project's own header fields. Such fields sent by
	// callers are dropped.
	Prefix = "Bergamotlead-"
	// Outcome tells the caller the outcome of a request that no upstream
	// answered.
	Outcome = Prefix + "Outcome"
	// RequestID identifies a request in logs and traces.
	RequestID = Prefix + "Request-Id"
	// Timeout is how long the caller waits for the response, for example 500ms.
	Timeout = Prefix + "Timeout"
	// Account is the name of the client account, sent to the upstream.
	Account = Prefix + "Client-Account"
	// Fence is the fencing token of the grant, sent to the upstream in the form
	// term.sequence.
	Fence = Prefix + "Fence"
	// Partition is the partition of the key, sent to the upstream.
	Partition = Prefix + "Partition"
	// NotRun is set by an upstream that did not run the request. Its value is
	// NotRunShed or NotRunFence.
	NotRun = Prefix + "Not-Run"
	// Authorization carries the client key. It is not forwarded to upstreams.
	Authorization = "Authorization"
	// TraceParent carries the parent span in the W3C Trace Context format.
	TraceParent = "Traceparent"
)

// Values of NotRun.
const (
	// NotRunShed means that the upstream is overloaded and shed the request.
	NotRunShed = "shed"
	// NotRunFence means that the upstream does not accept requests under this
	// grant.
	NotRunFence = "fence"
)

// bearerPrefix is the authentication scheme in the value of Authorization. It is
// matched without regard to case.
const bearerPrefix = "bearer "

// ClientKey returns the client key from the values of Authorization, or the
// empty string if there is not exactly one value or it is no bearer token.
func ClientKey(values []string) string {
	if len(values) != 1 || len(values[0]) <= len(bearerPrefix) || !strings.EqualFold(values[0][:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(values[0][len(bearerPrefix):])
}

// hopByHop reports whether a field applies to a single connection only and must
// not be forwarded.
func hopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
		"Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length", "Expect":
		return true
	}
	return false
}

// FilterRequest returns the fields of a caller's request to forward to the
// upstream. It drops hop-by-hop fields, fields that contain the client key, and
// the project's own fields, which a caller must not set.
func FilterRequest(header map[string][]string, clientKey string) map[string][]string {
	dropped := connectionFields(header)
	forwarded := make(map[string][]string, len(header))
	for name, values := range header {
		if hopByHop(name) || dropped[name] || name == Authorization || strings.HasPrefix(name, Prefix) ||
			anyContains(values, clientKey) {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}

// FilterResponse returns the fields of an upstream's response to forward to the
// caller. It drops hop-by-hop fields except Content-Length, and the project's own
// fields.
func FilterResponse(header map[string][]string) map[string][]string {
	dropped := connectionFields(header)
	forwarded := make(map[string][]string, len(header))
	for name, values := range header {
		if hopByHop(name) && name != "Content-Length" || dropped[name] || strings.HasPrefix(name, Prefix) {
			continue
		}
		forwarded[name] = values
	}
	return forwarded
}

// connectionFields returns the fields listed in Connection, which are hop-by-hop
// too.
func connectionFields(header map[string][]string) map[string]bool {
	var fields map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if fields == nil {
				fields = map[string]bool{}
			}
			fields[canonicalName(strings.TrimSpace(name))] = true
		}
	}
	return fields
}

func canonicalName(name string) string {
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

func anyContains(values []string, clientKey string) bool {
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
