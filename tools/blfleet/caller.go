package blfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Response is the response that a caller received.
type Response struct {
	Status  int
	Outcome string
	Body    string
	Header  http.Header
	// Upstream, Total and RequestID come from the response body of the upstream
	// stand-in.
	Upstream  string `json:"upstream"`
	Total     int64  `json:"total"`
	RequestID string `json:"request_id"`
}

// Call sends a request with a client key to a host's node. An empty key sends no
// Authorization header.
func (f *Fleet) Call(host *Host, method, path, key, body string) (Response, error) {
	request, err := http.NewRequestWithContext(
		context.Background(), method, "http://"+host.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return Response{}, fmt.Errorf("build request: %w", err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	httpResponse, err := f.client.Do(request)
	if err != nil {
		return Response{}, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	text, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read response: %w", err)
	}
	response := Response{}
	if strings.Contains(httpResponse.Header.Get("Content-Type"), "json") {
		_ = json.Unmarshal(text, &response)
	}
	response.Status = httpResponse.StatusCode
	response.Outcome = httpResponse.Header.Get("Bergamotlead-Outcome")
	response.Body = string(text)
	response.Header = httpResponse.Header
	return response, nil
}
