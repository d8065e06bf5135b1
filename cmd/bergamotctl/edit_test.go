package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"bergamotlead/io/bloperator"
)

// TestUnknownNames guards against a change of something that the document doesn't
// contain: nothing is sent, and the error names what is missing.
func TestUnknownNames(t *testing.T) {
	document, err := os.ReadFile(filepath.Join("..", "..", "configs", "dakar.toml"))
	if err != nil {
		t.Fatalf("read document: %v", err)
	}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			t.Errorf("request: got %s %s, want none but the read", r.Method, r.URL.Path)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(bloperator.Config{Document: string(document)})
	}))
	defer node.Close()
	c := &client{base: node.URL, http: node.Client()}
	cases := []struct {
		name    string
		command interface{ Run(c *client) error }
		want    string
	}{
		{"failure domain out", domainOutCommand{Domain: "x", Reason: "test"}, "there is no failure domain x in the configuration"},
		{"failure domain back", domainBackCommand{Domain: "x", Reason: "test"}, "there is no failure domain x in the configuration"},
		{"drain ended", undrainCommand{Upstream: "x"}, "there is no drained upstream x in the configuration"},
		{"key issued", issueCommand{Account: "x", Reason: "test"}, "there is no client account x in the configuration"},
		{"keys withdrawn", withdrawCommand{Account: "x", All: true, Reason: "test"}, "there is no client account x in the configuration"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.command.Run(c)
			var missing notFoundError
			if !errors.As(err, &missing) || err.Error() != tc.want {
				t.Errorf("error: got %v, want %s", err, tc.want)
			}
		})
	}
}
