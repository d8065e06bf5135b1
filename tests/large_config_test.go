package bltests_test

import (
	"fmt"
	"net/http"
	"testing"

	"bergamotlead/core/blconfig"
	"bergamotlead/tools/blfleet"
	"bergamotlead/tools/bllink"
)

const (
	// slowLinkBytes is the rate of a link of 10 Mbit/s, in bytes per second.
	slowLinkBytes = 10_000_000 / 8
	// addedRoutes make a document of about 0.5 MB.
	addedRoutes = 900
)

// withManyRoutes returns the document with further routes of the pot service.
func withManyRoutes(d blconfig.Document) blconfig.Document {
	values := map[string]blconfig.Value{
		"service": {Kind: blconfig.KindText, Text: "pot"}, "method": {Kind: blconfig.KindText, Text: "GET"},
		"idempotent": {Kind: blconfig.KindBoolean, Boolean: true}, "open": {Kind: blconfig.KindBoolean},
		"priority": {Kind: blconfig.KindText, Text: string(blconfig.PriorityNormal)},
	}
	for i := range addedRoutes {
		name := fmt.Sprintf("view_%04d", i)
		for option, value := range values {
			d = withValue(d, blconfig.SectionRoutes, name, option, value)
		}
		d = withValue(d, blconfig.SectionRoutes, name, "path", blconfig.Value{Kind: blconfig.KindText, Text: name})
	}
	return d
}

// TestLargeConfigurationReachesHostsOnSlowLinks guards against a configuration that
// takes longer to transfer than a heartbeat may last: hosts on slow links stayed on
// the previous one.
func TestLargeConfigurationReachesHostsOnSlowLinks(t *testing.T) {
	links := []*bllink.Link{}
	f := deployLinked(t, blfleet.PotHosts(3, true), nil, func(_, target string) (string, error) {
		link, err := bllink.New(target)
		if err == nil {
			links = append(links, link)
		}
		return link.Address(), err
	})
	for _, link := range links {
		link.Set(bllink.Faults{BytesPerSecond: slowLinkBytes})
		t.Cleanup(link.Close)
	}
	f.apply(f.editedDocument(withManyRoutes))
	for _, host := range f.Hosts {
		response, err := f.Call(host, http.MethodGet, fmt.Sprintf("/pot/x/view_%04d", addedRoutes-1), f.ClientKeys[account], "")
		if err != nil || response.Status == http.StatusNotFound {
			t.Errorf("last route at %s: got status %d, %v, want it served", host.Spec.Name, response.Status, err)
		}
	}
}
