package blfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Answer is what a caller got.
type Answer struct {
	Status  int
	Outcome string
	Body    string
	Header  http.Header
	// Upstream and Total are what the upstream stand-in answered.
	Upstream string `json:"upstream"`
	Total    int64  `json:"total"`
	Request  string `json:"request_id"`
}

// Call sends a caller's request to a host's node.
func (f *Fleet) Call(host *Host, method, path, key, body string) (Answer, error) {
	request, err := http.NewRequestWithContext(
		context.Background(), method, "http://"+host.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return Answer{}, fmt.Errorf("build request: %w", err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return Answer{}, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}, fmt.Errorf("read answer: %w", err)
	}
	answer := Answer{}
	if strings.Contains(response.Header.Get("Content-Type"), "json") {
		_ = json.Unmarshal(text, &answer)
	}
	answer.Status = response.StatusCode
	answer.Outcome = response.Header.Get("Bergamotlead-Outcome")
	answer.Body = string(text)
	answer.Header = response.Header
	return answer, nil
}
