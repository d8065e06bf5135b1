package blnode

import (
	"reflect"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/io/blsettings"
)

// Reload applies reread settings. The log level takes effect immediately, the
// others at the next start. If err is set, the settings could not be read and
// nothing changes.
func (n *Node) Reload(settings blsettings.Process, err error) {
	if err != nil {
		n.logger.Error("settings not reloaded, the former ones stay in force", "error", err)
		return
	}
	n.logger.SetLevel(hclog.LevelFromString(settings.LogLevel))
	settings.LogLevel = n.settings.LogLevel
	n.logger.Info("settings reloaded", "restart_needed", !reflect.DeepEqual(settings, n.settings))
}
