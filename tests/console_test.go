package bltests_test

import (
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// TestConsole logs in, previews an invalid and a valid change, and applies the
// valid one.
func TestConsole(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	f.roles()
	jar, err := cookiejar.New(nil)
	if err != nil {
		t.Fatalf("make cookie jar: %v", err)
	}
	b := &browser{t: t, client: &http.Client{Jar: jar, Timeout: 20 * time.Second}, base: "http://" + f.Hosts[0].OperatorAddress}
	if page := b.get("/settings"); !strings.Contains(page, "Operators&#39; token") && !strings.Contains(page, "Operators' token") {
		t.Errorf("page without a session: got %q, want the login", page)
	}
	if _, status := b.post("/login", url.Values{"token": {"wrong"}}); status != http.StatusUnauthorized {
		t.Errorf("login with a wrong token: got %d, want 401", status)
	}
	if page, _ := b.post("/login", url.Values{"token": {f.OperatorToken}}); !strings.Contains(page, "host_1") {
		t.Errorf("page after login: got %q, want the state", page)
	}
	if _, status := b.post("/settings/preview", url.Values{"value:timing.heartbeat": {"1s"}}); status != http.StatusForbidden {
		t.Errorf("form without the CSRF token form_seal: got %d, want 403", status)
	}
	form := b.form(b.get("/settings"))
	form.Set("value:timing.heartbeat", "2s")
	page, status := b.post("/settings/preview", form)
	if status != http.StatusUnprocessableEntity || !strings.Contains(page, "outside its range") {
		t.Errorf("preview of an invalid value: got %d, want 422 and the allowed range", status)
	}
	form.Set("value:timing.heartbeat", "250ms")
	form.Set("reason:timing.heartbeat", "A test wants quicker heartbeats <b>now</b>")
	page, status = b.post("/settings/preview", form)
	if status != http.StatusOK || !strings.Contains(page, "timing.heartbeat") || strings.Contains(page, "<b>now") {
		t.Fatalf("preview of a valid change: got %d, want 200, the change, and escaped markup", status)
	}
	page, status = b.post("/settings/apply", b.form(page))
	if status != http.StatusOK || !strings.Contains(page, "in force on every node") {
		t.Errorf("apply: got %d, want 200 and in force", status)
	}
	stale, _ := b.post("/settings/preview", form)
	page, status = b.post("/settings/apply", b.form(stale))
	if status != http.StatusConflict || !strings.Contains(page, "Another operator came first") {
		t.Errorf("apply on an outdated revision: got %d, want 409 and the other change", status)
	}
}

// browser is an HTTP client with a cookie jar.
type browser struct {
	t      *testing.T
	client *http.Client
	base   string
}

func (b *browser) get(path string) string {
	b.t.Helper()
	request, err := http.NewRequestWithContext(b.t.Context(), http.MethodGet, b.base+path, nil)
	if err != nil {
		b.t.Fatalf("build request: %v", err)
	}
	page, _ := b.do(request)
	return page
}

func (b *browser) post(path string, form url.Values) (string, int) {
	b.t.Helper()
	request, err := http.NewRequestWithContext(b.t.Context(), http.MethodPost, b.base+path, strings.NewReader(form.Encode()))
	if err != nil {
		b.t.Fatalf("build request: %v", err)
	}
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	return b.do(request)
}

func (b *browser) do(request *http.Request) (string, int) {
	b.t.Helper()
	response, err := b.client.Do(request)
	if err != nil {
		b.t.Fatalf("call console: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	if err != nil {
		b.t.Fatalf("read page: %v", err)
	}
	return string(page), response.StatusCode
}

var inputPattern = regexp.MustCompile(`(?s)<input type="(?:text|hidden)"[^>]*?name="([^"]*)" value="([^"]*)"`)

// form returns the fields of a page's form.
func (b *browser) form(page string) url.Values {
	form := url.Values{}
	for _, match := range inputPattern.FindAllStringSubmatch(page, -1) {
		form.Set(unescape(match[1]), unescape(match[2]))
	}
	return form
}

func unescape(text string) string {
	return strings.NewReplacer("&#34;", `"`, "&#39;", "'", "&lt;", "<", "&gt;", ">", "&#43;", "+", "&amp;", "&").Replace(text)
}
