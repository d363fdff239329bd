package storage

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the file system interface of the package. All paths include the folder.
type FS interface {
	// MkdirAll creates a folder and its parents. Their names are durable when it returns.
	MkdirAll(path string) error
	// Create opens a file for writing. An existing file is truncated.
	Create(path string) (File, error)
	// Append opens an existing file for appending.
	Append(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names in a folder.
	ReadDir(path string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	Truncate(path string, size int64) error
	// SyncDir makes creations, renames and removals in the folder durable.
	SyncDir(path string) error
	// Lock locks the file until the result is closed. It returns ErrLocked if another process
	// holds the lock.
	Lock(path string) (io.Closer, error)
}

// File is an open file.
type File interface {
	io.WriteCloser
	Sync() error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OS is the operating system's file system.
type OS struct{}

// MkdirAll creates a folder and its parents, and makes their names durable.
func (o OS) MkdirAll(path string) error { return createFolder(path, o.SyncDir) }

// createFolder creates a folder and its parents, and syncs the parent of each that it creates. The process may have
// ended between the two, so the parent of an empty folder is synced as well, as far as the process may.
func createFolder(path string, syncDir func(string) error) error {
	path = filepath.Clean(path)
	if names, err := os.ReadDir(path); err == nil && len(names) == 0 {
		_ = syncDir(filepath.Dir(path))
	}
	var missing []string
	for at := path; ; at = filepath.Dir(at) {
		if _, err := os.Stat(at); err == nil || at == filepath.Dir(at) {
			break
		}
		missing = append(missing, at)
	}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return err
	}
	for _, created := range missing {
		if err := syncDir(filepath.Dir(created)); err != nil && !errors.Is(err, fs.ErrPermission) {
			return err
		}
	}
	return nil
}

// Create opens a file for writing. An existing file is truncated.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append opens an existing file for appending.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// ReadFile returns the content of a file.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir returns the names in a folder.
func (OS) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, err
}

// Rename moves a file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file or an empty folder.
func (OS) Remove(path string) error { return os.Remove(path) }

// Truncate changes the size of a file and syncs it.
func (OS) Truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// SyncDir syncs a folder.
func (OS) SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock takes an exclusive lock on a file.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, ErrLocked
	}
	return f, nil
}

// WriteFile atomically replaces a file in a folder. After a crash the file has either the old or
// the new content.
func WriteFile(folder, name string, data []byte) error {
	return replaceFile(OS{}, folder, name, data)
}

// replaceFile writes a file under a temporary name, syncs it, renames it and syncs the folder, so
// that either the old file or the new one remains after a crash.
func replaceFile(fs FS, folder, name string, data []byte) error {
	path := join(folder, name)
	f, err := fs.Create(path + tempSuffix)
	if err != nil {
		return wrapError("create", path+tempSuffix, err)
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return wrapError("write", path+tempSuffix, err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return wrapError("sync", path+tempSuffix, err)
	}
	if err := f.Close(); err != nil {
		return wrapError("close", path+tempSuffix, err)
	}
	if err := fs.Rename(path+tempSuffix, path); err != nil {
		return wrapError("rename", path+tempSuffix, err)
	}
	if err := fs.SyncDir(folder); err != nil {
		return wrapError("sync", folder, err)
	}
	return nil
}
