// Package storage keeps a control instance's state in files under one data folder.
//
// The folder holds an identity, one snapshot, and the segments of a log that continues the
// snapshot. Each Save appends one frame, with a CRC-32C, and syncs it. A file that was
// changed, is missing or belongs to another instance makes Open fail with its path and the
// reason; only a torn frame at the very end of the log, which no Save has confirmed, is cut.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io"
	"io/fs"
	"slices"
	"strings"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/rotisserie/eris"
)

const (
	lockName = "lock"
	// segmentBytes is the size after which a new segment is begun.
	segmentBytes = 8 << 20
)

// Options describe a folder.
type Options struct {
	Folder string
	// Instance is the name of the instance that the folder must belong to.
	Instance string
	// FS is the file system; nil: the operating system's.
	FS FS
}

// Log is the open data folder of one replica.
type Log struct {
	fs       FS
	folder   string
	lock     io.Closer
	identity Identity
	hard     consensus.HardState
	file     File
	framer   framer
	written  int64
	buf      []byte
	failed   error
	// TruncatedBytes is the number of bytes of a torn frame that Open has cut off.
	TruncatedBytes int
}

// Open locks the folder, checks all that is in it and counts the start.
func Open(o Options) (*Log, Stored, error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	l := &Log{fs: o.FS, folder: o.Folder}
	if err := l.fs.MkdirAll(l.folder); err != nil {
		return nil, Stored{}, fail("create", l.folder, err)
	}
	lock, err := l.fs.Lock(join(l.folder, lockName))
	if err != nil {
		return nil, Stored{}, fail("lock", join(l.folder, lockName), err)
	}
	l.lock = lock
	stored, err := l.open(o.Instance)
	if err != nil {
		_ = l.Close()
		return nil, Stored{}, err
	}
	return l, stored, nil
}

// Identity returns whose folder it is.
func (l *Log) Identity() Identity { return l.identity }

func (l *Log) open(instance string) (Stored, error) {
	if err := l.readIdentity(instance); err != nil {
		return Stored{}, err
	}
	if l.identity.Disk == 0 {
		return Stored{}, l.create(instance)
	}
	if l.identity.LastSegment == 0 {
		return Stored{}, l.fill()
	}
	if err := l.removeLeftovers(); err != nil {
		return Stored{}, err
	}
	snapshot, err := l.readSnapshot()
	if err != nil {
		return Stored{}, err
	}
	stored := Stored{Snapshot: snapshot}
	if err := l.readSegments(&stored); err != nil {
		return Stored{}, err
	}
	l.hard = stored.HardState
	l.identity.Starts++
	return stored, l.writeIdentity()
}

// create begins a new folder. Without an identity there must be no other file either.
func (l *Log) create(instance string) error {
	names, err := l.fs.ReadDir(l.folder)
	if err != nil {
		return fail("list", l.folder, err)
	}
	for _, name := range names {
		if isOurs(name) && !strings.HasSuffix(name, temporarySuffix) {
			return eris.Wrapf(ErrMissing, "storage: read %s: the folder holds %s", join(l.folder, identityName), name)
		}
	}
	l.identity = Identity{Instance: instance, Disk: randomNumber(), Starts: 1}
	if err := l.writeIdentity(); err != nil {
		return err
	}
	return l.fill()
}

// fill makes the first segment of a folder that has only an identity.
func (l *Log) fill() error {
	if err := l.removeLeftovers(); err != nil {
		return err
	}
	if err := l.beginSegment(nil); err != nil {
		return err
	}
	l.identity.FirstSegment = l.identity.LastSegment
	return l.writeIdentity()
}

func randomNumber() uint64 {
	var b [fixedBytes]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func (l *Log) readIdentity(instance string) error {
	path := join(l.folder, identityName)
	data, err := l.fs.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fail("read", path, err)
	}
	id, ok := decodeIdentity(data)
	if !ok {
		return damaged(path, 0, "the identity was changed")
	}
	if id.Instance != instance {
		return eris.Wrapf(ErrWrongInstance, "storage: read %s: it belongs to %q, not to %q", path, id.Instance, instance)
	}
	l.identity = id
	return nil
}

func (l *Log) writeIdentity() error {
	return replaceFile(l.fs, l.folder, identityName, l.identity.encode())
}

// readSegments reads the log and opens its newest segment for appending.
func (l *Log) readSegments(s *Stored) error {
	good := 0
	for n := l.identity.FirstSegment; n <= l.identity.LastSegment; n++ {
		size, err := l.readSegment(s, n, n == l.identity.LastSegment)
		if err != nil {
			return err
		}
		good = size
	}
	path := join(l.folder, segmentName(l.identity.LastSegment))
	if l.TruncatedBytes > 0 {
		if err := l.fs.Truncate(path, int64(good)); err != nil {
			return fail("cut", path, err)
		}
	}
	file, err := l.fs.Append(path)
	if err != nil {
		return fail("open", path, err)
	}
	l.file = file
	l.framer = newFramer(l.identity.Disk, l.identity.LastSegment)
	l.written = int64(good)
	return nil
}

// Save appends the hard state and the entries and syncs them.
func (l *Log) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if l.failed != nil {
		return eris.Wrapf(ErrFailed, "%v", l.failed)
	}
	if hard != nil {
		l.hard = *hard
	}
	if l.written >= segmentBytes {
		if err := l.rotate(); err != nil {
			return l.broken(err)
		}
	}
	return l.broken(l.write(batch{hard: hard, entries: entries}))
}

// SaveSnapshot puts a snapshot and the entries after it in the place of all that was saved.
func (l *Log) SaveSnapshot(s consensus.Snapshot, hard consensus.HardState, rest []consensus.Entry) error {
	if l.failed != nil {
		return eris.Wrapf(ErrFailed, "%v", l.failed)
	}
	return l.broken(l.saveSnapshot(s, hard, rest))
}

func (l *Log) saveSnapshot(s consensus.Snapshot, hard consensus.HardState, rest []consensus.Entry) error {
	data := encodeSnapshot(l.identity.Disk, s)
	if err := replaceFile(l.fs, l.folder, snapshotName(s.Index), data); err != nil {
		return err
	}
	l.hard = hard
	if err := l.beginSegment(rest); err != nil {
		return err
	}
	l.identity.Group = s.Membership.Group
	l.identity.SnapshotIndex = s.Index
	l.identity.FirstSegment = l.identity.LastSegment
	if err := l.writeIdentity(); err != nil {
		return err
	}
	return l.removeLeftovers()
}

func (l *Log) rotate() error {
	if err := l.beginSegment(nil); err != nil {
		return err
	}
	return l.writeIdentity()
}

// beginSegment starts a segment with the hard state and the entries. It counts only once
// the identity names it.
func (l *Log) beginSegment(entries []consensus.Entry) error {
	l.identity.LastSegment++
	path := join(l.folder, segmentName(l.identity.LastSegment))
	file, err := l.fs.Create(path)
	if err != nil {
		return fail("create", path, err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	l.framer = newFramer(l.identity.Disk, l.identity.LastSegment)
	l.written = 0
	if err := l.write(batch{hard: &l.hard, entries: entries}); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.folder); err != nil {
		return fail("sync", l.folder, err)
	}
	return nil
}

func (l *Log) write(x batch) error {
	path := join(l.folder, segmentName(l.identity.LastSegment))
	l.buf = l.framer.append(l.buf[:0], appendBatch(nil, x))
	if _, err := l.file.Write(l.buf); err != nil {
		return fail("write", path, err)
	}
	if err := l.file.Sync(); err != nil {
		return fail("sync", path, err)
	}
	l.written += int64(len(l.buf))
	return nil
}

// broken remembers a failure. After a failed sync the kernel may report the next one as
// done although the data is lost, so nothing is ever tried again.
func (l *Log) broken(err error) error {
	if err != nil {
		l.failed = err
	}
	return err
}

// Close releases the folder.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	return errors.Join(err, l.lock.Close())
}

// removeLeftovers removes what the identity doesn't name: older files, and newer ones that
// a crash left half made.
func (l *Log) removeLeftovers() error {
	names, err := l.fs.ReadDir(l.folder)
	if err != nil {
		return fail("list", l.folder, err)
	}
	keep := []string{snapshotName(l.identity.SnapshotIndex)}
	for n := l.identity.FirstSegment; n <= l.identity.LastSegment; n++ {
		keep = append(keep, segmentName(n))
	}
	for _, name := range names {
		if !isOurs(name) || name == identityName || slices.Contains(keep, name) {
			continue
		}
		if err := l.fs.Remove(join(l.folder, name)); err != nil {
			return fail("remove", join(l.folder, name), err)
		}
	}
	return nil
}
