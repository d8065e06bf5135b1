package blnode

import (
	"reflect"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/io/blsettings"
)

// Reload takes settings that were read again. The log level holds at once, the
// others from the next start on. Settings that can't be read change nothing.
func (n *Node) Reload(settings blsettings.Process, err error) {
	if err != nil {
		n.logger.Error("settings not reloaded, the former ones stay in force", "error", err)
		return
	}
	n.logger.SetLevel(hclog.LevelFromString(settings.LogLevel))
	settings.LogLevel = n.settings.LogLevel
	n.logger.Info("settings reloaded", "restart_needed", !reflect.DeepEqual(settings, n.settings))
}
