// Command bergamotlead is the node process that runs next to the upstream on each
// host.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"bergamotlead/core/bltimer"
	"bergamotlead/io/blnode"
	"bergamotlead/io/blprocess"
	"bergamotlead/io/blsettings"
	"bergamotlead/platform/bladapter"
)

type arguments struct {
	Settings string `arg:"" help:"File with the settings of this process, in TOML." type:"existingfile"`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Description("Routes requests to upstreams that own keys exclusively."))
	if err := blprocess.New(args.Settings, bltimer.NewSystem(), newPlatform).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bergamotlead:", err)
		os.Exit(1)
	}
}

// newPlatform returns the platform that the settings select.
func newPlatform(settings blsettings.Process, clock bltimer.Clock) blnode.Platform {
	if settings.Platform != nil {
		return bladapter.New(settings, clock)
	}
	return blnode.DefaultPlatform(settings, clock)
}
