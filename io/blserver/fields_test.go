package blserver

import (
	"net/http"
	"strconv"
	"testing"

	"bergamotlead/standin/blbroken"
)

// TestRequestWithInvalidFieldName checks that no handler gets a request, such as an
// announcement of an upstream, with a field whose name is none.
func TestRequestWithInvalidFieldName(t *testing.T) {
	for _, line := range blbroken.InvalidLines() {
		t.Run(strconv.Quote(line), func(t *testing.T) {
			s := startSite(t, unwrapped)
			c := s.dial()
			c.send("POST /announce HTTP/1.1\r\nHost: site\r\n" + line + "\r\nContent-Length: 2\r\n\r\n{}")
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				t.Fatalf("response: got %v, want one", err)
			}
			_ = response.Body.Close()
			if got, want := response.StatusCode, http.StatusBadRequest; got != want || !response.Close {
				t.Errorf("response: got status %d, close %t, want %d and the end of the connection", got, response.Close, want)
			}
		})
	}
}
