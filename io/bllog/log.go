// Package bllog writes the process's log as JSON lines.
package bllog

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blvalue"
)

// New returns a logger that writes entries of the given level or above to output
// as JSON lines.
func New(host blvalue.HostName, level string, output io.Writer) hclog.Logger {
	logger := hclog.New(&hclog.LoggerOptions{
		Name: "bergamotlead", Level: hclog.LevelFromString(level), Output: output, JSONFormat: true,
	})
	return logger.With("host", string(host))
}
