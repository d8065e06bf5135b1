package blupstream

import (
	"fmt"
	"net/url"
	"strings"
)

// TargetError reports a path and query that can't be sent to an upstream unchanged.
type TargetError struct {
	Target string
}

// Error implements error.
func (e TargetError) Error() string {
	return fmt.Sprintf("the target %q can't be sent unchanged", e.Target)
}

// setTarget sets the path and query of a URL so that they are sent exactly as they are. A
// URL that is parsed is encoded anew if its path holds characters that should have been
// encoded, and an encoded slash then becomes a slash.
func setTarget(u *url.URL, target string) error {
	if !strings.HasPrefix(target, "/") && target != "*" || strings.ContainsFunc(target, endsTarget) {
		return TargetError{Target: target}
	}
	if !strings.HasPrefix(target, "//") {
		u.Opaque = target
		return nil
	}
	// An opaque URL that begins with two slashes is sent with its scheme.
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return fmt.Errorf("parse target: %w", err)
	}
	u.Path, u.RawPath, u.RawQuery, u.ForceQuery = parsed.Path, parsed.RawPath, parsed.RawQuery, parsed.ForceQuery
	if u.RequestURI() != target {
		return TargetError{Target: target}
	}
	return nil
}

// endsTarget reports whether a character would end the target within a request line.
func endsTarget(r rune) bool { return r <= ' ' || r == '\x7f' }
