package storage

import (
	"archive/tar"
	"bytes"
	"errors"
	"path/filepath"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"
)

func TestArchiveIsRestored(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	o := Options{FS: OS{}, Folder: folder, Instance: "kandy-1"}
	l, _, err := Open(o)
	is.NoErr(err)
	is.NoErr(l.Save(&consensus.HardState{Term: 1}, []consensus.Entry{{Term: 1, Index: 1, Data: []byte("x")}}))

	var archive bytes.Buffer
	is.True(errors.Is(Archive(folder, &archive), ErrLocked)) // the instance is running
	is.NoErr(l.Close())
	archive.Reset()
	is.NoErr(Archive(folder, &archive))

	restored := filepath.Join(t.TempDir(), "new")
	is.NoErr(Restore(bytes.NewReader(archive.Bytes()), restored))
	o.Folder = restored
	l, stored, err := Open(o)
	is.NoErr(err)
	defer l.Close()
	is.Equal(stored.Entries, []consensus.Entry{{Term: 1, Index: 1, Data: []byte("x")}})

	is.True(errors.Is(Restore(bytes.NewReader(archive.Bytes()), restored), ErrNotEmpty))
	cut := archive.Bytes()[:archive.Len()-5]
	is.True(Restore(bytes.NewReader(cut), filepath.Join(t.TempDir(), "cut")) != nil)
}

func TestRestoreRejectsPathsOutsideTheFolder(t *testing.T) {
	for _, name := range []string{"../x", "a/b", "/x", ".."} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var archive bytes.Buffer
			z, err := zstd.NewWriter(&archive)
			is.NoErr(err)
			w := tar.NewWriter(z)
			is.NoErr(w.WriteHeader(&tar.Header{Name: name, Mode: 0o600, Size: 1}))
			_, err = w.Write([]byte("x"))
			is.NoErr(err)
			is.NoErr(w.Close())
			is.NoErr(z.Close())
			is.True(Restore(&archive, filepath.Join(t.TempDir(), "new")) != nil)
		})
	}
}
