// Package build names the build that runs.
package build

import (
	"debug/elf"
	"os"
	"regexp"
	"runtime/debug"
	"sync"
)

const (
	// nameChars is the length of a shortened revision or build ID.
	nameChars = 12
	// unknown names a build that can't be told.
	unknown = "unknown"
	// idSection is the section of an executable that holds the build ID.
	idSection = ".note.go.buildid"
)

// Name returns the shortened revision that the binary was built from, with "+changes" if the files
// differed from it. For a build without a revision (-buildvcs=false) it is "id-" and the shortened last part
// of what go tool buildid prints for the binary.
var Name = sync.OnceValue(func() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		if name := revision(info.Settings); name != "" {
			return name
		}
	}
	path, err := os.Executable()
	if err != nil {
		return unknown
	}
	return id(path)
})

var lastPartOfID = regexp.MustCompile(`/([^/]+)\x00*$`)

// id returns the shortened last part of the build ID of an executable.
func id(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return unknown
	}
	defer f.Close()
	s := f.Section(idSection)
	if s == nil {
		return unknown
	}
	note, err := s.Data()
	if err != nil {
		return unknown
	}
	part := lastPartOfID.FindSubmatch(note)
	if part == nil {
		return unknown
	}
	return "id-" + string(part[1][:min(len(part[1]), nameChars)])
}

// revision returns the shortened revision, or "" if the build has none.
func revision(settings []debug.BuildSetting) string {
	name, changed := "", ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision" && s.Value != "":
			name = s.Value[:min(len(s.Value), nameChars)]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+changes"
		}
	}
	if name == "" {
		return ""
	}
	return name + changed
}
