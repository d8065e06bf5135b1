package blheader_test

import (
	"fmt"
	"testing"

	"bergamotlead/io/blheader"
)

func ExampleClientKey() {
	fmt.Println(blheader.ClientKey([]string{"Bearer s3cret"}))
	// Output: s3cret
}

func TestForwardedDropsKeysAndClaims(t *testing.T) {
	cases := []struct {
		name string
		in   map[string][]string
		want bool
	}{
		{"ordinary field", map[string][]string{"Accept": {"text/html"}}, true},
		{"key", map[string][]string{"Authorization": {"Bearer s3cret"}}, false},
		{"key in another field", map[string][]string{"X-Api-Key": {"s3cret"}}, false},
		{"key within a cookie", map[string][]string{"Cookie": {"a=b; k=s3cret"}}, false},
		{"claimed account", map[string][]string{"Bergamotlead-Client-Account": {"audit"}}, false},
		{"claimed fence", map[string][]string{"Bergamotlead-Fence": {"9.9"}}, false},
		{"hop by hop", map[string][]string{"Upgrade": {"websocket"}}, false},
		{"named by Connection", map[string][]string{"X-Hop": {"1"}, "Connection": {"close, x-hop"}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := len(blheader.Forwarded(c.in, "s3cret")) > 0; got != c.want {
				t.Errorf("forwarded: got %t, want %t", got, c.want)
			}
		})
	}
}
