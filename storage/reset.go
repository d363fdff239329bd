package storage

import (
	"strings"

	"github.com/balsamlb/balsamlb/consensus"
)

// asideFolder holds the files of a folder that was reset, for an operator to look at.
const asideFolder = "aside"

// isOurs reports whether the package gave a file its name.
func isOurs(name string) bool {
	return name == identityName || strings.HasPrefix(name, segmentPrefix) ||
		strings.HasPrefix(name, snapshotPrefix) || strings.HasSuffix(name, temporarySuffix)
}

// Reset sets the folder's files aside, in the place of those of an earlier reset, and
// begins an empty folder with another disk number.
func (l *Log) Reset() error {
	return l.broken(l.reset())
}

func (l *Log) reset() error {
	aside := join(l.folder, asideFolder)
	if err := l.fs.MkdirAll(aside); err != nil {
		return fail("create", aside, err)
	}
	old, err := l.fs.ReadDir(aside)
	if err != nil {
		return fail("list", aside, err)
	}
	for _, name := range old {
		if err := l.fs.Remove(join(aside, name)); err != nil {
			return fail("remove", join(aside, name), err)
		}
	}
	if err := replaceFile(l.fs, aside, identityName, l.identity.encode()); err != nil {
		return err
	}
	// From here on the old files are not read any more, whatever happens.
	l.identity = Identity{Instance: l.identity.Instance, Disk: randomNumber(), Starts: 1}
	if err := l.writeIdentity(); err != nil {
		return err
	}
	if err := l.moveAside(aside); err != nil {
		return err
	}
	l.hard = consensus.HardState{}
	return l.fill()
}

func (l *Log) moveAside(aside string) error {
	names, err := l.fs.ReadDir(l.folder)
	if err != nil {
		return fail("list", l.folder, err)
	}
	for _, name := range names {
		if !isOurs(name) || name == identityName {
			continue
		}
		if err := l.fs.Rename(join(l.folder, name), join(aside, name)); err != nil {
			return fail("move", join(l.folder, name), err)
		}
	}
	return nil
}
