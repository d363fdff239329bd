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

// ErrNotEmpty means that the folder to restore into is not empty.
var ErrNotEmpty = errors.New("storage: the folder is not empty")

// maxArchivedFileBytes is the maximum size of one file in an archive.
const maxArchivedFileBytes = 4 << 30

// Archive writes the folder to w as a compressed archive. It locks the folder meanwhile, so it
// fails while the instance that owns the folder is running.
func Archive(folder string, w io.Writer) error {
	lock, err := OS{}.Lock(join(folder, lockName))
	if err != nil {
		return err
	}
	defer lock.Close()
	z, err := zstd.NewWriter(w)
	if err != nil {
		return wrapError("compress", folder, err)
	}
	t := tar.NewWriter(z)
	names, err := OS{}.ReadDir(folder)
	if err != nil {
		return wrapError("read folder", folder, err)
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
		return wrapError("write archive", folder, err)
	}
	return eris.Wrap(z.Close(), "storage: write archive")
}

func archiveFile(t *tar.Writer, path, name string) error {
	info, err := os.Stat(path)
	if err != nil {
		return wrapError("stat", path, err)
	}
	if !info.Mode().IsRegular() {
		return nil
	}
	in, err := os.Open(path)
	if err != nil {
		return wrapError("open", path, err)
	}
	defer in.Close()
	if err := t.WriteHeader(&tar.Header{Name: name, Mode: 0o600, Size: info.Size()}); err != nil {
		return wrapError("archive", path, err)
	}
	if _, err := io.Copy(t, in); err != nil {
		return wrapError("archive", path, err)
	}
	return nil
}

// Restore unpacks an archive into a folder that is empty or missing, and syncs it.
func Restore(r io.Reader, folder string) error {
	if err := prepareEmptyFolder(folder); err != nil {
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

func prepareEmptyFolder(folder string) error {
	if err := (OS{}).MkdirAll(folder); err != nil {
		return wrapError("create folder", folder, err)
	}
	names, err := OS{}.ReadDir(folder)
	if err != nil {
		return wrapError("read folder", folder, err)
	}
	if len(names) > 0 {
		return wrapError("restore into", folder, ErrNotEmpty)
	}
	return nil
}

func restoreFile(t *tar.Reader, h *tar.Header, folder string) error {
	// A name that contains a path could refer to a file outside the folder.
	if h.Typeflag != tar.TypeReg || h.Name != filepath.Base(h.Name) || h.Size > maxArchivedFileBytes {
		return eris.Errorf("storage: the archive contains %q, which is not a file of a data folder", h.Name)
	}
	path := join(folder, h.Name)
	out, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return wrapError("create", path, err)
	}
	if _, err := io.CopyN(out, t, h.Size); err != nil {
		_ = out.Close()
		return wrapError("restore", path, err)
	}
	if err := out.Sync(); err != nil {
		_ = out.Close()
		return wrapError("sync", path, err)
	}
	return eris.Wrapf(out.Close(), "storage: close %s", path)
}
