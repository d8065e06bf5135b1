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

func TestFilterRequestDropsClientKeysAndReservedFields(t *testing.T) {
	cases := []struct {
		name string
		in   map[string][]string
		want bool
	}{
		{"ordinary field", map[string][]string{"Accept": {"text/html"}}, true},
		{"client key", map[string][]string{"Authorization": {"Bearer s3cret"}}, false},
		{"client key in another field", map[string][]string{"X-Api-Key": {"s3cret"}}, false},
		{"client key in a cookie", map[string][]string{"Cookie": {"a=b; k=s3cret"}}, false},
		{"account set by the caller", map[string][]string{"Bergamotlead-Client-Account": {"audit"}}, false},
		{"fence set by the caller", map[string][]string{"Bergamotlead-Fence": {"9.9"}}, false},
		{"hop-by-hop field", map[string][]string{"Upgrade": {"websocket"}}, false},
		{"field listed in Connection", map[string][]string{"X-Hop": {"1"}, "Connection": {"close, x-hop"}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := len(blheader.FilterRequest(c.in, "s3cret")) > 0; got != c.want {
				t.Errorf("forwarded: got %t, want %t", got, c.want)
			}
		})
	}
}
