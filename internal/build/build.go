// Package build names the build that runs.
package build

import (
	"runtime/debug"
	"sync"
)

const (
	// revisionChars is the length of a shortened revision.
	revisionChars = 12
	// unknown names a build outside a repository.
	unknown = "unknown"
)

// Name returns the shortened revision that the binary was built from, with "+changes" if the files
// differed from it.
var Name = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	return name(info.Settings)
})

func name(settings []debug.BuildSetting) string {
	revision, changed := unknown, ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision" && s.Value != "":
			revision = s.Value[:min(len(s.Value), revisionChars)]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+changes"
		}
	}
	return revision + changed
}
