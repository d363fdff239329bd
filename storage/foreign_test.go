package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/matryer/is"
)

// Guards against a snapshot that removes a temporary file of the controller, which writes into the same folder; where the
// controller has renamed it meanwhile, the removal fails and ends the process.
func TestSnapshotLeavesTemporaryFilesOfOthers(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l, _, err := Open(Options{Folder: folder, Instance: "kandy-1"})
	is.NoErr(err)
	defer l.Close()
	path := filepath.Join(folder, "servers"+tempSuffix)
	is.NoErr(os.WriteFile(path, []byte("servers"), 0o600))
	is.NoErr(l.SaveSnapshot(consensus.Snapshot{Index: 8, Term: 2, Data: []byte("s")}, *committedAt(2, 8), nil))
	_, err = os.Stat(path)
	is.NoErr(err) // the controller's file is still there
}
