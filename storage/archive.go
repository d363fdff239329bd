package storage

import (
	"archive/tar"
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// ErrNotEmpty means that a folder to restore into holds files.
var ErrNotEmpty = errors.New("storage: the folder is not empty")

// maxArchivedFile bounds one file of an archive, in bytes.
const maxArchivedFile = 4 << 30

// Archive writes the folder to w as a compressed archive. The folder is locked meanwhile, so
// the instance that owns it must not run.
func Archive(folder string, w io.Writer) error {
	lock, err := OS{}.Lock(join(folder, lockName))
	if err != nil {
		return err
	}
	defer lock.Close()
	z, err := zstd.NewWriter(w)
	if err != nil {
		return fail("compress", folder, err)
	}
	t := tar.NewWriter(z)
	names, err := OS{}.ReadDir(folder)
	if err != nil {
		return fail("read folder", folder, err)
	}
	for _, name := range names {
		if name == lockName {
			continue
		}
		if err := archiveFile(t, join(folder, name), name); err != nil {
			return err
		}
	}
	if err := t.Close(); err != nil {
		return fail("write archive", folder, err)
	}
	return eris.Wrap(z.Close(), "storage: write archive")
}

func archiveFile(t *tar.Writer, path, name string) error {
	info, err := os.Stat(path)
	if err != nil {
		return fail("look at", path, err)
	}
	if !info.Mode().IsRegular() {
		return nil
	}
	in, err := os.Open(path)
	if err != nil {
		return fail("open", path, err)
	}
	defer in.Close()
	if err := t.WriteHeader(&tar.Header{Name: name, Mode: 0o600, Size: info.Size()}); err != nil {
		return fail("archive", path, err)
	}
	if _, err := io.Copy(t, in); err != nil {
		return fail("archive", path, err)
	}
	return nil
}

// Restore unpacks an archive into a folder that is empty or missing, and syncs it.
func Restore(r io.Reader, folder string) error {
	if err := prepareEmpty(folder); err != nil {
		return err
	}
	z, err := zstd.NewReader(r)
	if err != nil {
		return eris.Wrap(err, "storage: read archive")
	}
	defer z.Close()
	t := tar.NewReader(z)
	for {
		h, err := t.Next()
		if errors.Is(err, io.EOF) {
			return OS{}.SyncDir(folder)
		}
		if err != nil {
			return eris.Wrap(err, "storage: read archive")
		}
		if err := restoreFile(t, h, folder); err != nil {
			return err
		}
	}
}

func prepareEmpty(folder string) error {
	if err := (OS{}).MkdirAll(folder); err != nil {
		return fail("create folder", folder, err)
	}
	names, err := OS{}.ReadDir(folder)
	if err != nil {
		return fail("read folder", folder, err)
	}
	if len(names) > 0 {
		return fail("restore into", folder, ErrNotEmpty)
	}
	return nil
}

func restoreFile(t *tar.Reader, h *tar.Header, folder string) error {
	// A name with a path could be written outside of the folder.
	if h.Typeflag != tar.TypeReg || h.Name != filepath.Base(h.Name) || h.Size > maxArchivedFile {
		return eris.Errorf("storage: the archive holds %q, which is no file of a data folder", h.Name)
	}
	path := join(folder, h.Name)
	out, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fail("create", path, err)
	}
	if _, err := io.CopyN(out, t, h.Size); err != nil {
		_ = out.Close()
		return fail("restore", path, err)
	}
	if err := out.Sync(); err != nil {
		_ = out.Close()
		return fail("sync", path, err)
	}
	return eris.Wrapf(out.Close(), "storage: close %s", path)
}
