package blconfig

// Position is the position of a configuration in the order of configurations: by
// version, which operators raise with each change, and then by revision. A store that
// was restored from an older copy may return an earlier version at a later revision.
type Position struct {
	// Version is zero if the configuration has no version.
	Version  uint64
	Revision uint64
}

// LaterThan reports whether p follows other.
func (p Position) LaterThan(other Position) bool {
	if p.Version != other.Version {
		return p.Version > other.Version
	}
	return p.Revision > other.Revision
}

// Position returns the position of the configuration.
func (a Accepted) Position() Position {
	return Position{Version: a.Version, Revision: a.Revision}
}

// LaterThan reports whether the configuration is to replace other. Held domains return
// at the end of their time, where nothing in the store need have changed.
func (a Accepted) LaterThan(other Accepted) bool {
	if a.Position() == other.Position() {
		return other.Held && !a.Held
	}
	return a.Position().LaterThan(other.Position())
}

// WithHeld returns the configuration with whether failure domains are held out.
func (a Accepted) WithHeld(held bool) Accepted {
	a.Held = held
	return a
}

// WithVersion returns the configuration with the version that operators gave it.
func (a Accepted) WithVersion(version uint64) Accepted {
	a.Version = version
	return a
}

// WithStoredVersion returns the configuration with the version that the store holds.
func (a Accepted) WithStoredVersion(version uint64) Accepted {
	a.StoredVersion = version
	return a
}
