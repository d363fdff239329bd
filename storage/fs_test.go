package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against a new data folder that is gone after a loss of power, with all that was synced in it, since the folder
// above it was never synced.
func TestNewDataFolderOutlastsALossOfPower(t *testing.T) {
	is := is.New(t)
	top := t.TempDir()
	var synced []string
	record := func(path string) error {
		_, err := os.Stat(filepath.Join(top, "a", "b")) // it is there before its parent is synced
		is.NoErr(err)
		synced = append(synced, path)
		return OS{}.SyncDir(path)
	}
	folder := filepath.Join(top, "a", "b")
	is.NoErr(createFolder(folder, record))
	is.Equal(synced, []string{filepath.Join(top, "a"), top})
	// It is empty, so the process may have ended before it synced the parent.
	synced = nil
	is.NoErr(createFolder(folder, record))
	is.Equal(synced, []string{filepath.Join(top, "a")})
	is.NoErr(WriteFile(folder, "f", nil))
	synced = nil
	is.NoErr(createFolder(folder, record))
	is.Equal(len(synced), 0)
}
