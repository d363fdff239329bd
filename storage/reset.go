package storage

import (
	"errors"
	"io/fs"
	"slices"
	"strings"

	"github.com/balsamlb/balsamlb/consensus"
)

// asideFolder keeps the files of a data folder that was reset, so that an operator can inspect
// them.
const asideFolder = "aside"

// isManagedFile reports whether a file has a name that the log uses, or that of a temporary file of it. Others
// write files of their own into the folder.
func isManagedFile(name string) bool {
	final := strings.TrimSuffix(name, tempSuffix)
	return final == identityName || name == formName+tempSuffix || strings.HasPrefix(final, segmentPrefix) ||
		strings.HasPrefix(final, snapshotPrefix) || strings.HasPrefix(final, commitPrefix)
}

// Reset moves the files of the data folder to asideFolder, where they replace the files of an
// earlier reset. It then initializes the data folder with an empty log and a new disk ID.
func (l *Log) Reset() error {
	return l.recordFailure(l.reset())
}

func (l *Log) reset() error {
	aside := join(l.folder, asideFolder)
	if err := l.fs.MkdirAll(aside); err != nil {
		return wrapError("create", aside, err)
	}
	old, err := l.fs.ReadDir(aside)
	if err != nil {
		return wrapError("list", aside, err)
	}
	for _, name := range old {
		if err := l.fs.Remove(join(aside, name)); err != nil {
			return wrapError("remove", join(aside, name), err)
		}
	}
	if err := replaceFile(l.fs, aside, identityName, l.identity.encode()); err != nil {
		return err
	}
	// The new identity is written first, so that the old files are not read again even if the
	// process crashes before they are moved.
	l.identity = Identity{Instance: l.identity.Instance, Disk: newDiskID(), Starts: 1}
	if err := l.writeIdentity(); err != nil {
		return err
	}
	l.hardState = consensus.HardState{}
	return l.finishReset()
}

// finishReset completes a reset whose new identity was written, also after a crash. Without a reset, it
// only creates the first segment.
func (l *Log) finishReset() error {
	aside := join(l.folder, asideFolder)
	moved, err := l.fs.ReadDir(aside)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return wrapError("list", aside, err)
	}
	if slices.Contains(moved, identityName) {
		if err := l.moveAside(aside, moved); err != nil {
			return err
		}
	}
	return l.createFirstSegment()
}

// moveAside moves the files of the folder. A file that is in moved already stays: after a crash it is
// the first segment of the new log, which may have the same name as an old one.
func (l *Log) moveAside(aside string, moved []string) error {
	names, err := l.fs.ReadDir(l.folder)
	if err != nil {
		return wrapError("list", l.folder, err)
	}
	for _, name := range names {
		if !isManagedFile(name) || name == identityName || slices.Contains(moved, name) {
			continue
		}
		if err := l.fs.Rename(join(l.folder, name), join(aside, name)); err != nil {
			return wrapError("move", join(l.folder, name), err)
		}
	}
	if err := l.fs.SyncDir(aside); err != nil {
		return wrapError("sync", aside, err)
	}
	return nil
}
