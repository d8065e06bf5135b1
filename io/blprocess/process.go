// Package blprocess runs a node as a process, from its settings file until a signal
// stops it.
package blprocess

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/io/bllog"
	"bergamotlead/io/blnode"
	"bergamotlead/io/blsettings"
)

// stopTimeout limits a graceful shutdown, regardless of the configuration.
const stopTimeout = 10 * time.Minute

// Process is a node process.
type Process struct {
	// path is the path of the settings file.
	path  string
	clock *bltimer.System
	// platform returns the platform of a node with the given settings.
	platform func(blsettings.Process, bltimer.Clock) blnode.Platform
}

// New returns a process with the settings file at path.
func New(path string, clock *bltimer.System, platform func(blsettings.Process, bltimer.Clock) blnode.Platform) *Process {
	return &Process{path: path, clock: clock, platform: platform}
}

// Run runs the node until SIGTERM or an interrupt. It returns the error with which the
// node could not start, failed, or could not stop.
func (p *Process) Run() error {
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	settings, err := blsettings.ReadProcess(p.path)
	if err != nil {
		return fmt.Errorf("%s: %w", p.path, err)
	}
	limitHeap(settings)
	output := bllog.NewWriter(os.Stdout)
	output.Start()
	defer output.Stop()
	logger := bllog.New(settings.Host, settings.LogLevel, output)
	if err := p.clock.Err(); err != nil {
		logger.Warn("suspensions of the host aren't noticed", "error", err)
	}
	if suspended := p.clock.SuspendedBefore(); suspended > 0 {
		logger.Warn("host was suspended before the start", "suspended_ms", suspended.Milliseconds())
	}
	node, err := blnode.New(context.Background(), settings, p.platform(settings, p.clock), p.clock, logger)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	if err := node.Start(context.Background()); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	err = p.waitForStop(node, stopSignals, reloadSignals)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if stopErr := node.Stop(ctx); err == nil {
		err = stopErr
	}
	return err
}

// limitHeap lets the collector run more often when the process comes near its memory. It
// is a safeguard only: the budget of the node bounds what clients can hold.
func limitHeap(settings blsettings.Process) {
	if limit := blnode.MemoryLimits(settings).HeapLimit(int(settings.MemoryMB)); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// waitForStop returns nil on a stop signal, or the error with which the node failed.
func (p *Process) waitForStop(node *blnode.Node, stopSignals, reloadSignals <-chan os.Signal) error {
	for {
		select {
		case <-stopSignals:
			return nil
		case <-reloadSignals:
			node.Reload(blsettings.ReadProcess(p.path))
		case err := <-node.Failed():
			return fmt.Errorf("run: %w", err)
		}
	}
}
