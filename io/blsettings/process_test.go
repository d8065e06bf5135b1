package blsettings_test

import (
	"strings"
	"testing"

	"bergamotlead/io/blsettings"
)

const validProcess = `
host = "host_a"
region = "sn_west"
failure_domain = "sn_west_a"
caller_listen = "127.0.0.1:8000"
node_listen = "127.0.0.1:8001"
upstream_listen = "127.0.0.1:8002"
operator_listen = "127.0.0.1:8003"
store = "127.0.0.1:7400"
`

func TestParseProcess(t *testing.T) {
	cases := []struct {
		name, old, new, want string
	}{
		{"good", "", "", ""},
		{"unknown name", "region =", "regoin = \"x\"\nregion =", "unknown name"},
		{"host name in place of an IP address", "127.0.0.1:7400", "store.example:7400", "setting store: want an IP address and port"},
		{"missing host", "host = \"host_a\"", "", "setting host: is missing"},
		{"unspecified address", "127.0.0.1:8001", "0.0.0.0:8001", "setting node_listen"},
		{"syntax", "region = ", "region = = ", "line 3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := blsettings.ParseProcess([]byte(strings.Replace(validProcess, c.old, c.new, 1)))
			if c.want == "" {
				if err != nil {
					t.Errorf("ParseProcess: got %v, want nil", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("ParseProcess: got %v, want an error containing %q", err, c.want)
			}
		})
	}
}
