package blsettings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bergamotlead/core/blconfig"
	"bergamotlead/io/blsettings"
)

func shipped(t testing.TB, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "configs", name))
	if err != nil {
		t.Fatalf("read %s: %v", name, err)
	}
	return string(text)
}

func ExampleParseDocument() {
	_, err := blsettings.ParseDocument([]byte("[timing]\nheartbeat = { value = \"1s\" }\n"))
	var invalid blconfig.ValidationError
	fmt.Println(errors.As(err, &invalid), strings.Contains(err.Error(), "timing.heartbeat: the reason is missing"))
	// Output: true true
}

func TestParseDocumentAcceptsShippedFiles(t *testing.T) {
	for _, name := range []string{"dakar.toml", "umuhuza.toml"} {
		t.Run(name, func(t *testing.T) {
			document, err := blsettings.ParseDocument([]byte(shipped(t, name)))
			if err != nil {
				t.Fatalf("ParseDocument: got %v, want nil", err)
			}
			if got, want := len(document.Entries(blconfig.SectionAccounts)), 8; got != want {
				t.Errorf("accounts: got %d, want %d", got, want)
			}
		})
	}
}

func TestFormatDocumentRoundTrip(t *testing.T) {
	before, err := blsettings.ParseDocument([]byte(shipped(t, "dakar.toml")))
	if err != nil {
		t.Fatalf("ParseDocument: got %v, want nil", err)
	}
	text, err := blsettings.FormatDocument(before)
	if err != nil {
		t.Fatalf("FormatDocument: got %v, want nil", err)
	}
	after, err := blsettings.ParseDocument(text)
	if err != nil {
		t.Fatalf("ParseDocument of the formatted text: got %v, want nil", err)
	}
	if got := blconfig.Difference(before, after); len(got) != 0 {
		t.Errorf("difference after a round trip: got %v, want none", got)
	}
}

func TestParseDocumentErrors(t *testing.T) {
	cases := []struct {
		name, old, new, want string
	}{
		{"unknown section", "[timing]", "[tuning]\nx = 1\n[timing]", "tuning: no such section"},
		{"unknown option", "heartbeat =", "pulse =", "timing.pulse: no such option"},
		{"missing option", "heartbeat =", "pulse =", "timing.heartbeat: the setting is missing"},
		{"value without a table", `name = { value = "dakar_pooling_mesh", reason = "The mesh in which parents in Dakar and Thies pool money" }`, "name = 3", "deployment.name: want a table with value and reason"},
		{"empty reason", "The hall in Pikine takes work", " ", "domains.sn_west_b.state: the reason is missing"},
		{"short reason", "The hall in Pikine takes work", "because", "domains.sn_west_b.state: the reason is too short"},
		{"copied reason", "The hall in Pikine takes work", "the hall in  Dakar Plateau takes work", "domains.sn_west_b.state: the reason is copied from domains.sn_west_a.state"},
		{"heartbeat too long for the grant", `heartbeat = { value = "300ms"`, `heartbeat = { value = "301ms"`, "timing.heartbeat: value \"301ms\" is outside its range; allowed: 100ms to 300ms"},
		{"cold start above slots", "cold_start_limit = { value = 2, reason = \"A cold pot", "cold_start_limit = { value = 7, reason = \"A cold pot", "services.pot.cold_start_limit: value \"7\" is outside its range; allowed: 1 to 6"},
		{"rates above capacity", "rate = { value = 1500", "rate = { value = 150000", "accounts.family_app.rate"},
		{"wrong kind", "rate = { value = 1500", "rate = { value = \"much\"", "accounts.family_app.rate: the value much is not integer"},
		{"name not in snake case", "[domains.sn_west_a]", "[domains.\"Sn-West\"]", "domains.Sn-West: the name is not in snake case"},
		{"digest", "key_digests = { value = [], reason = \"The family", "key_digests = { value = [\"ab\"], reason = \"The family", "accounts.family_app.key_digests"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := shipped(t, "dakar.toml")
			changed := strings.Replace(text, c.old, c.new, 1)
			if changed == text {
				t.Fatalf("the document does not contain %q", c.old)
			}
			_, err := blsettings.ParseDocument([]byte(changed))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("ParseDocument: got %v, want an error containing %q", err, c.want)
			}
		})
	}
}

func TestParseDocumentReportsPositionOfSyntaxError(t *testing.T) {
	_, err := blsettings.ParseDocument([]byte("[timing]\nheartbeat = = 3\n"))
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("ParseDocument: got %v, want an error with the line number", err)
	}
}

func TestParseDocumentRefusesOversize(t *testing.T) {
	_, err := blsettings.ParseDocument(make([]byte, blsettings.MaxDocumentBytes+1))
	var size blsettings.SizeError
	if !errors.As(err, &size) {
		t.Errorf("ParseDocument: got %v, want SizeError", err)
	}
}

func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(shipped(f, "dakar.toml")))
	f.Add([]byte("[services.x]\nkind = {value = 3}\n"))
	f.Add([]byte("[timing]\nheartbeat = {value = \"-1h\", reason = 5}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := blsettings.ParseDocument(text)
		if err != nil {
			return
		}
		if _, err := blsettings.FormatDocument(document); err != nil {
			t.Errorf("FormatDocument of an accepted document: got %v, want nil", err)
		}
	})
}
