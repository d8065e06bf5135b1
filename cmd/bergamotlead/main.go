// Command bergamotlead is the process in each upstream host's slot.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"bergamotlead/core/bltimer"
	"bergamotlead/io/bllog"
	"bergamotlead/io/blnode"
	"bergamotlead/io/blsettings"
	"bergamotlead/platform/bladapter"
)

// stopTimeout bounds a graceful end, whatever the configuration says.
const stopTimeout = 10 * time.Minute

type arguments struct {
	Settings string `arg:"" help:"File with the settings of this process, in TOML." type:"existingfile"`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Description("Routes requests to upstreams that own keys exclusively."))
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "bergamotlead:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	settings, err := blsettings.ReadProcess(args.Settings)
	if err != nil {
		return fmt.Errorf("%s: %w", args.Settings, err)
	}
	output := bllog.NewWriter(os.Stdout)
	output.Start()
	defer output.Stop()
	logger := bllog.New(settings.Host, settings.LogLevel, output)
	clock := bltimer.NewSystem()
	platform := blnode.OwnPlatform
	if settings.Platform != nil {
		platform = bladapter.New
	}
	node, err := blnode.New(context.Background(), settings, platform(settings, clock), clock, logger)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if err := node.Start(context.Background()); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	err = wait(node, args.Settings, ends, reloads)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if stopped := node.Stop(ctx); err == nil {
		err = stopped
	}
	return err
}

// wait returns when the process is told to end, or what broke it.
func wait(node *blnode.Node, path string, ends, reloads <-chan os.Signal) error {
	for {
		select {
		case <-ends:
			return nil
		case <-reloads:
			node.Reload(blsettings.ReadProcess(path))
		case err := <-node.Failed():
			return fmt.Errorf("run: %w", err)
		}
	}
}
