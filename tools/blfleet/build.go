package blfleet

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"time"
)

// Build compiles the programs of a fleet from the module at root into folder.
func Build(root, folder string) error {
	programs := map[string]string{
		"bergamotlead":     "./cmd/bergamotlead",
		"bergamotctl":      "./cmd/bergamotctl",
		"standin_platform": "./standin/platform",
		"standin_upstream": "./standin/upstream",
	}
	for name, path := range programs {
		command := exec.CommandContext(context.Background(), "go", "build", "-o", filepath.Join(folder, name), path)
		command.Dir = root
		if output, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w: %s", name, err, output)
		}
	}
	return nil
}

// domains are the failure domains of the Dakar mesh.
var domains = []string{"sn_west_a", "sn_west_b", "sn_west_c"}

// DakarHosts returns the hosts of the Dakar mesh, one in each failure domain, each
// with one pot and one wishlist server.
func DakarHosts(checksFence bool) []HostSpec {
	hosts := PotHosts(len(domains), checksFence)
	for i := range hosts {
		hosts[i].Upstreams = append(hosts[i].Upstreams, WishlistServer(i+1))
	}
	return hosts
}

// PotHosts returns hosts spread over the failure domains, each with one pot server.
func PotHosts(count int, checksFence bool) []HostSpec {
	hosts := make([]HostSpec, 0, count)
	for i := range count {
		hosts = append(hosts, HostSpec{
			Name: fmt.Sprintf("host_%d", i+1), Domain: domains[i%len(domains)],
			Upstreams: []Upstream{PotServer(i+1, checksFence)},
		})
	}
	return hosts
}

const (
	dakarSlots       = 6
	dakarColdSlots   = 2
	dakarServiceTime = 5 * time.Millisecond
)

// PotServer returns a pot server of the Dakar mesh.
func PotServer(number int, checksFence bool) Upstream {
	return Upstream{
		Name: fmt.Sprintf("pot_%d", number), Service: "pot", Exclusive: true, Slots: dakarSlots,
		ColdSlots: dakarColdSlots, ServiceTime: dakarServiceTime, ChecksFence: checksFence,
	}
}

// WishlistServer returns a wishlist server of the Dakar mesh.
func WishlistServer(number int) Upstream {
	return Upstream{
		Name: fmt.Sprintf("wishlist_%d", number), Service: "wishlist", Slots: dakarSlots,
		ColdSlots: dakarColdSlots, ServiceTime: dakarServiceTime,
	}
}
