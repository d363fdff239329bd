package build

import (
	"os"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Builds without a revision were all named unknown, so that nothing told two of them apart.
func TestBuildIsNamed(t *testing.T) {
	is := is.New(t)
	is.Equal(revision([]debug.BuildSetting{{Key: "vcs.revision", Value: "2717513a428c6c3"}, {Key: "vcs.modified", Value: "true"}}), "2717513a428c+changes")
	is.Equal(revision([]debug.BuildSetting{{Key: "vcs.modified", Value: "true"}}), "")
	path, err := os.Executable()
	is.NoErr(err)
	is.True(strings.HasPrefix(id(path), "id-"))
	is.Equal(id(os.DevNull), unknown)
}
