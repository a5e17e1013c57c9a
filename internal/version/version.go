// Package version identifies the build of the running program.
package version

import "runtime/debug"

// String returns the revision that the program was built from, with "-dirty" if there were uncommitted changes, or
// "unknown".
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value[:min(len(s.Value), 12)]
		case "vcs.modified":
			if s.Value == "true" {
				dirty = "-dirty"
			}
		}
	}
	return revision + dirty
}
