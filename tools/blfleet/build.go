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

// DakarHosts returns the hosts of the Dakar mesh, one in each failure domain, each
// with one pot and one wishlist server.
func DakarHosts(checksFence bool) []HostSpec {
	domains := []string{"sn_west_a", "sn_west_b", "sn_west_c"}
	hosts := make([]HostSpec, 0, len(domains))
	for i, domain := range domains {
		hosts = append(hosts, HostSpec{
			Name: fmt.Sprintf("host_%d", i+1), Domain: domain,
			Upstreams: []Upstream{PotServer(i+1, checksFence), WishlistServer(i + 1)},
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
