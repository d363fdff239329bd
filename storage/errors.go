package storage

import (
	"errors"
	"path/filepath"

	"github.com/rotisserie/eris"
)

var (
	// ErrLocked means that another process uses the data folder.
	ErrLocked = errors.New("storage: the data folder is in use by another process")
	// ErrCorrupted means that a file does not contain what was written.
	ErrCorrupted = errors.New("storage: damaged file")
	// ErrMissing means that a required file does not exist.
	ErrMissing = errors.New("storage: missing file")
	// ErrWrongInstance means that the data folder belongs to another instance.
	ErrWrongInstance = errors.New("storage: the data folder belongs to another instance")
	// ErrFailed means that an earlier write or sync failed. The content of the disk is then
	// unknown, so nothing more is written.
	ErrFailed = errors.New("storage: an earlier write or sync failed")
)

const tempSuffix = ".tmp"

func join(folder, name string) string { return filepath.Join(folder, name) }

func wrapError(step, path string, err error) error {
	return eris.Wrapf(err, "storage: %s %s", step, path)
}

func corruptedError(path string, offset int, reason string) error {
	return eris.Wrapf(ErrCorrupted, "storage: read %s: %s at offset %d", path, reason, offset)
}
