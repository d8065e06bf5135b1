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
		{"negative memory", "store =", "memory_mb = -1\nstore =", "setting memory_mb"},
		{"negative descriptors", "store =", "max_descriptors = -1\nstore =", "setting max_descriptors"},
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

// TestPlatformFiguresMayBeFractions guards against a process that ends at its start
// because a figure of the platform isn't a whole number.
func TestPlatformFiguresMayBeFractions(t *testing.T) {
	platform := `
memory_mb = 184.5
max_descriptors = 4100.0

[platform]
service = "pot"
failure_domains = ["a"]
upstream_heartbeat = "1.5s"
shortest_lease = "1s"
longest_grant = "10s"
drain = "2s"
grace = "6s"
retry_ratio = 1
retry_reserve = 30.714285
quota_excess = 0
quota_window = "2.5s"
quota_slack = 1.4285
exposure_share = 0.1
exposure_reserve = 50
rollback_time = "5s"
`
	settings, err := blsettings.ParseProcess([]byte(validProcess + platform))
	if err != nil {
		t.Fatalf("ParseProcess: got %v, want nil", err)
	}
	if got, want := settings.Platform.RetryReserve, 30.714285; got != want {
		t.Errorf("retry reserve: got %v, want %v", got, want)
	}
}
