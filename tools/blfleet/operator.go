package blfleet

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"bergamotlead/core/blconfig"
	"bergamotlead/io/bloperator"
	"bergamotlead/io/blsettings"
)

// StatusError reports an HTTP response with a status of 300 or above.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error implements error.
func (e StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body)
}

func (f *Fleet) get(url string, into any) error {
	return f.call(http.MethodGet, url, nil, into)
}

func (f *Fleet) call(method, url string, body, into any) error {
	var payload io.Reader = http.NoBody
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, url, payload)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+f.OperatorToken)
	response, err := f.client.Do(request)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return StatusError{URL: url, Status: response.StatusCode, Body: string(text)}
	}
	if into == nil || len(text) == 0 {
		return nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// Status returns the status of a host's node.
func (f *Fleet) Status(host *Host) (bloperator.Status, error) {
	var status bloperator.Status
	err := f.get("http://"+host.OperatorAddress+"/status", &status)
	return status, err
}

// Lead returns the host whose node leads and lists the members, or nil.
func (f *Fleet) Lead() *Host {
	for _, host := range f.Hosts {
		status, err := f.Status(host)
		if err == nil && len(status.Members) > 0 {
			return host
		}
	}
	return nil
}

// HostByName returns the host with the given name, or nil.
func (f *Fleet) HostByName(name string) *Host {
	for _, host := range f.Hosts {
		if host.Spec.Name == name {
			return host
		}
	}
	return nil
}

// hostInLeadRole returns the host whose node has the role of lead, or nil. The
// node may have no configuration yet.
func (f *Fleet) hostInLeadRole() *Host {
	for _, host := range f.Hosts {
		status, err := f.Status(host)
		if err == nil && status.Role == "leading" {
			return host
		}
	}
	return nil
}

// Document returns the document at path with one new client key for each
// account, as changed by edit, which may be nil. The client keys are stored in
// ClientKeys.
func (f *Fleet) Document(path string, edit func(blconfig.Document) blconfig.Document) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read document: %w", err)
	}
	document, err := blsettings.ParseDocument(text)
	if err != nil {
		return "", fmt.Errorf("read document: %w", err)
	}
	for _, account := range document.Entries(blconfig.SectionAccounts) {
		key := randomHex()
		f.ClientKeys[account] = key
		setting := blconfig.Path{Section: blconfig.SectionAccounts, Entry: account, Option: "key_digests"}
		old, _ := document.Get(setting)
		old.Value.List = []string{KeyDigest(key)}
		document = document.With(setting, old)
	}
	if edit != nil {
		document = edit(document)
	}
	formatted, err := blsettings.FormatDocument(document)
	if err != nil {
		return "", fmt.Errorf("write document: %w", err)
	}
	return string(formatted), nil
}

// KeyDigest returns the digest by which a configuration names a client key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Apply applies a document through a host's node and waits up to 10 s until it is
// in force.
func (f *Fleet) Apply(host *Host, base uint64, document string) (bloperator.ChangeResult, error) {
	var result bloperator.ChangeResult
	err := f.call(http.MethodPost, "http://"+host.OperatorAddress+"/config",
		bloperator.Change{BaseRevision: base, Document: document, WaitMS: 10000}, &result)
	return result, err
}

// secretBytes is the size of client keys and of the operators' token.
const secretBytes = 32

func randomHex() string {
	var raw [secretBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// MetricNotFoundError reports a metric that a node does not export.
type MetricNotFoundError struct {
	Name string
}

// Error implements error.
func (e MetricNotFoundError) Error() string {
	return "metric not found: " + e.Name
}

// Metric returns the value of a metric without labels from a host's node.
func (f *Fleet) Metric(host *Host, name string) (float64, error) {
	request, err := http.NewRequestWithContext(
		context.Background(), http.MethodGet, "http://"+host.OperatorAddress+"/metrics", nil)
	if err != nil {
		return 0, fmt.Errorf("build request: %w", err)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("read metrics: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if found, value, _ := strings.Cut(lines.Text(), " "); found == name {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, MetricNotFoundError{Name: name}
}
