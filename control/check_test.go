package control

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/storage"
	"github.com/matryer/is"
)

// The folder had counted the start, and the error named neither the form nor the build.
func TestFolderWithANewerSnapshotIsRefusedUnchanged(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l, _, err := storage.Open(storage.Options{Folder: folder, Instance: "kandy-1", Build: "later"})
	is.NoErr(err)
	snapshot := consensus.Snapshot{Index: 4, Term: 1, Data: []byte{0x08, 7, 0xfa, 0x01, 0}} // version 7 and an unknown field
	is.NoErr(l.SaveSnapshot(snapshot, consensus.HardState{Term: 1}, nil))
	is.NoErr(l.Close())
	before := readFolder(t, folder)
	_, _, err = OpenStorage(folder, "kandy-1")
	var form *storage.FormError
	is.True(errors.As(err, &form))
	is.Equal(form.Form, "a snapshot of version 7")
	is.Equal(form.Build, "later")
	is.Equal(readFolder(t, folder), before)
}

func readFolder(t *testing.T, folder string) map[string]string {
	t.Helper()
	out := map[string]string{}
	names, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		out[filepath.Base(name)] = string(data)
	}
	return out
}
