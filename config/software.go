package config

// SoftwareLimit restricts the software version of the targets that may handle a request. The
// zero value allows all targets.
type SoftwareLimit struct {
	// Limited limits the request to targets of Version; if that is empty, to targets of
	// unknown version.
	Limited bool
	Version string
}

// OnlySoftware returns the limit to targets of a version.
func OnlySoftware(version string) SoftwareLimit {
	return SoftwareLimit{Limited: true, Version: version}
}

// Allows reports whether a target of a version may handle the request.
func (l SoftwareLimit) Allows(version string) bool { return !l.Limited || l.Version == version }
