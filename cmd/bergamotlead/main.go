// Command bergamotlead is the node process that runs next to the upstream on each
// host.
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

// stopTimeout limits a graceful shutdown, regardless of the configuration.
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
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	settings, err := blsettings.ReadProcess(args.Settings)
	if err != nil {
		return fmt.Errorf("%s: %w", args.Settings, err)
	}
	output := bllog.NewWriter(os.Stdout)
	output.Start()
	defer output.Stop()
	logger := bllog.New(settings.Host, settings.LogLevel, output)
	clock := bltimer.NewSystem()
	if err := clock.Err(); err != nil {
		logger.Warn("suspensions of the host aren't noticed", "error", err)
	}
	if suspended := clock.SuspendedBefore(); suspended > 0 {
		logger.Warn("host was suspended before the start", "suspended_ms", suspended.Milliseconds())
	}
	platform := blnode.DefaultPlatform
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
	err = waitForStop(node, args.Settings, stopSignals, reloadSignals)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if stopErr := node.Stop(ctx); err == nil {
		err = stopErr
	}
	return err
}

// waitForStop returns nil on a stop signal, or the error with which the node failed.
func waitForStop(node *blnode.Node, path string, stopSignals, reloadSignals <-chan os.Signal) error {
	for {
		select {
		case <-stopSignals:
			return nil
		case <-reloadSignals:
			node.Reload(blsettings.ReadProcess(path))
		case err := <-node.Failed():
			return fmt.Errorf("run: %w", err)
		}
	}
}
