package storage

import (
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// FS is what the package needs of a file system. Paths are whole paths.
type FS interface {
	MkdirAll(path string) error
	// Create opens a new, empty file for writing; an old one of the name is emptied.
	Create(path string) (File, error)
	// Append opens a file for writing at its end.
	Append(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the names in a folder.
	ReadDir(path string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	Truncate(path string, size int64) error
	// SyncDir makes creations, renames and removals in the folder durable.
	SyncDir(path string) error
	// Lock takes the file for this process until it is closed, or returns ErrLocked.
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

// MkdirAll makes a folder and those above it.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, folderMode) }

// Create opens a new, empty file for writing.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append opens a file for writing at its end.
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

// Truncate cuts a file and syncs it.
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

// WriteFile replaces a file of a folder as a whole: after a crash it holds the old content or
// the new one.
func WriteFile(folder, name string, data []byte) error {
	return replaceFile(OS{}, folder, name, data)
}

// replaceFile writes a file under a temporary name, syncs it, renames it and syncs the
// folder, so that a crash leaves either the old file or the new one.
func replaceFile(fs FS, folder, name string, data []byte) error {
	path := join(folder, name)
	f, err := fs.Create(path + temporarySuffix)
	if err != nil {
		return fail("create", path+temporarySuffix, err)
	}
	if _, err := f.Write(data); err != nil {
		f.Close()
		return fail("write", path+temporarySuffix, err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return fail("sync", path+temporarySuffix, err)
	}
	if err := f.Close(); err != nil {
		return fail("close", path+temporarySuffix, err)
	}
	if err := fs.Rename(path+temporarySuffix, path); err != nil {
		return fail("rename", path+temporarySuffix, err)
	}
	if err := fs.SyncDir(folder); err != nil {
		return fail("sync", folder, err)
	}
	return nil
}
