// Package storage stores the state of a control instance in files in one data folder.
//
// The folder contains an identity, one snapshot, and the segments of a log that continues the
// snapshot. Each Save appends one frame with a CRC-32C and syncs it. If a file is corrupted or
// missing or belongs to another instance, Open returns an error with its path and the reason. Only a
// torn frame at the very end of the log, which no Save has acknowledged, is truncated. A file beside
// the newest segment holds the latest commit; it may be lost.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/rotisserie/eris"
)

const (
	lockName = "lock"
	// maxSegmentBytes is the segment size at which the next Save starts a new segment.
	maxSegmentBytes = 8 << 20
)

// Options configure Open.
type Options struct {
	Folder string
	// Instance is the name of the instance that the folder must belong to.
	Instance string
	// FS is the file system; nil: the file system of the operating system.
	FS FS
	// Build names this build in the folder and in errors.
	Build string
	// Check decides before anything in the folder is changed whether its content can be used; nil:
	// always. It may return a FormError with the form only.
	Check func(Stored) error
}

// Log is the open data folder of one replica.
type Log struct {
	fs       FS
	folder   string
	lock     io.Closer
	identity Identity
	// build is this build, and form what the folder says of its form.
	build       string
	form        folderFormFile
	hardState   consensus.HardState
	file        File
	framer      framer
	segmentSize int64
	commitFile  commitFile
	// loggedCommit is the latest commit in the log itself.
	loggedCommit consensus.Position
	buf          []byte
	failure      error
	// hasCommitRecords means that Open has read records that earlier builds can't read.
	hasCommitRecords bool
	// TruncatedBytes is the size of the torn frame that Open has removed from the end of the log.
	TruncatedBytes int
}

// Open locks the folder, verifies its files and increments the number of starts.
func Open(o Options) (*Log, Stored, error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	l := &Log{fs: o.FS, folder: o.Folder, build: o.Build}
	if err := l.fs.MkdirAll(l.folder); err != nil {
		return nil, Stored{}, wrapError("create", l.folder, err)
	}
	lock, err := l.fs.Lock(join(l.folder, lockName))
	if err != nil {
		return nil, Stored{}, wrapError("lock", join(l.folder, lockName), err)
	}
	l.lock = lock
	stored, err := l.open(o)
	if err != nil {
		_ = l.Close()
		return nil, Stored{}, err
	}
	return l, stored, nil
}

// Identity returns the current identity of the folder.
func (l *Log) Identity() Identity { return l.identity }

func (l *Log) open(o Options) (Stored, error) {
	if err := l.readForm(); err != nil {
		return Stored{}, err
	}
	if err := l.readIdentity(o.Instance); err != nil {
		return Stored{}, err
	}
	if l.identity.Disk == 0 {
		return Stored{}, l.create(o.Instance)
	}
	if l.identity.LastSegment == 0 {
		return Stored{}, l.finishReset()
	}
	stored, err := l.readFiles(o.Check)
	if err != nil {
		return Stored{}, err
	}
	if err := l.writeForm(); err != nil {
		return Stored{}, err
	}
	if err := l.removeUnreferenced(); err != nil {
		return Stored{}, err
	}
	if err := l.openNewestSegment(); err != nil {
		return Stored{}, err
	}
	l.loggedCommit = stored.HardState.Commit
	l.readCommit(&stored)
	l.hardState = stored.HardState
	l.identity.Starts++
	if l.hasCommitRecords {
		return stored, l.rewrite(stored.Entries)
	}
	return stored, l.writeIdentity()
}

// readFiles reads the snapshot and the log, and changes nothing.
func (l *Log) readFiles(check func(Stored) error) (Stored, error) {
	snapshot, err := l.readSnapshot()
	if err != nil {
		return Stored{}, err
	}
	stored := Stored{Snapshot: snapshot}
	if err := l.readSegments(&stored); err != nil {
		return Stored{}, err
	}
	return stored, l.check(check, stored)
}

// rewrite replaces the segments with one that builds that saved no commit can read. A log that is too
// long for one segment is left as it is until the next snapshot replaces it.
func (l *Log) rewrite(entries []consensus.Entry) error {
	size := 0
	for _, e := range entries {
		size += len(e.Data)
	}
	if size >= maxSegmentBytes {
		return l.writeIdentity()
	}
	if err := l.beginSegment(entries); err != nil {
		return err
	}
	l.identity.FirstSegment = l.identity.LastSegment
	if err := l.writeIdentity(); err != nil {
		return err
	}
	return l.removeUnreferenced()
}

// create initializes a new folder. If the identity is missing, there must be no other managed
// files either.
func (l *Log) create(instance string) error {
	names, err := l.fs.ReadDir(l.folder)
	if err != nil {
		return wrapError("list", l.folder, err)
	}
	for _, name := range names {
		if isManagedFile(name) && !strings.HasSuffix(name, tempSuffix) {
			return eris.Wrapf(ErrMissing, "storage: read %s: there is no identity, but the folder contains %s", join(l.folder, identityName), name)
		}
	}
	if err := l.writeForm(); err != nil {
		return err
	}
	l.identity = Identity{Instance: instance, Disk: newDiskID(), Starts: 1}
	if err := l.writeIdentity(); err != nil {
		return err
	}
	return l.createFirstSegment()
}

// createFirstSegment creates the first segment of a folder that has only an identity.
func (l *Log) createFirstSegment() error {
	if err := l.removeUnreferenced(); err != nil {
		return err
	}
	if err := l.beginSegment(nil); err != nil {
		return err
	}
	l.identity.FirstSegment = l.identity.LastSegment
	return l.writeIdentity()
}

func newDiskID() uint64 {
	var b [uint64Bytes]byte
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
		return wrapError("read", path, err)
	}
	if version, ok := newerIdentity(data); ok {
		return l.formError(path, fmt.Sprintf("an identity of version %d", version))
	}
	id, ok := decodeIdentity(data)
	if !ok {
		return corruptedError(path, 0, "the identity is invalid")
	}
	if id.Instance != instance {
		return eris.Wrapf(ErrWrongInstance, "storage: read %s: the folder belongs to %q, not to %q", path, id.Instance, instance)
	}
	l.identity = id
	return nil
}

func (l *Log) writeIdentity() error {
	return replaceFile(l.fs, l.folder, identityName, l.identity.encode())
}

// readSegments reads the log.
func (l *Log) readSegments(s *Stored) error {
	for n := l.identity.FirstSegment; n <= l.identity.LastSegment; n++ {
		size, err := l.readSegment(s, n, n == l.identity.LastSegment)
		if err != nil {
			return err
		}
		l.segmentSize = int64(size)
	}
	return nil
}

// openNewestSegment removes a torn frame from the newest segment and opens it for appending.
func (l *Log) openNewestSegment() error {
	path := join(l.folder, segmentName(l.identity.LastSegment))
	if l.TruncatedBytes > 0 {
		if err := l.fs.Truncate(path, l.segmentSize); err != nil {
			return wrapError("truncate", path, err)
		}
	}
	file, err := l.fs.Append(path)
	if err != nil {
		return wrapError("open", path, err)
	}
	l.file = file
	l.framer = newFramer(l.identity.Disk, l.identity.LastSegment)
	return nil
}

// Save appends the hard state and the entries to the log and syncs them. If only the commit has
// changed, Save writes it without a sync.
func (l *Log) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if l.failure != nil {
		return eris.Wrapf(ErrFailed, "%v", l.failure)
	}
	if hard != nil {
		needsSync := len(entries) > 0 || hard.Term != l.hardState.Term || hard.Vote != l.hardState.Vote
		l.hardState = *hard
		if !needsSync {
			l.commitFile.save(l.fs, l.folder, l.identity, hard.Commit)
			return nil
		}
	}
	if l.loggedCommit != l.hardState.Commit {
		hard = &l.hardState
	}
	if l.segmentSize >= maxSegmentBytes {
		if err := l.rotate(); err != nil {
			return l.recordFailure(err)
		}
	}
	return l.recordFailure(l.write(saveBatch{hardState: hard, entries: entries}))
}

// SaveSnapshot replaces all saved data with a snapshot and the entries after it.
func (l *Log) SaveSnapshot(s consensus.Snapshot, hard consensus.HardState, rest []consensus.Entry) error {
	if l.failure != nil {
		return eris.Wrapf(ErrFailed, "%v", l.failure)
	}
	return l.recordFailure(l.saveSnapshot(s, hard, rest))
}

func (l *Log) saveSnapshot(s consensus.Snapshot, hard consensus.HardState, rest []consensus.Entry) error {
	data := encodeSnapshot(l.identity.Disk, s)
	if err := replaceFile(l.fs, l.folder, snapshotName(s.Index), data); err != nil {
		return err
	}
	l.hardState = hard
	if err := l.beginSegment(rest); err != nil {
		return err
	}
	l.identity.Group = s.Membership.Group
	l.identity.SnapshotIndex = s.Index
	l.identity.FirstSegment = l.identity.LastSegment
	if err := l.writeIdentity(); err != nil {
		return err
	}
	return l.removeUnreferenced()
}

func (l *Log) rotate() error {
	if err := l.beginSegment(nil); err != nil {
		return err
	}
	return l.writeIdentity()
}

// beginSegment starts a new segment with the hard state and the entries. The segment is not used
// after a restart until the identity refers to it.
func (l *Log) beginSegment(entries []consensus.Entry) error {
	l.identity.LastSegment++
	path := join(l.folder, segmentName(l.identity.LastSegment))
	file, err := l.fs.Create(path)
	if err != nil {
		return wrapError("create", path, err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.commitFile.close()
	l.file = file
	l.framer = newFramer(l.identity.Disk, l.identity.LastSegment)
	l.segmentSize = 0
	if err := l.write(saveBatch{hardState: &l.hardState, entries: entries}); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.folder); err != nil {
		return wrapError("sync", l.folder, err)
	}
	return nil
}

func (l *Log) write(batch saveBatch) error {
	path := join(l.folder, segmentName(l.identity.LastSegment))
	l.buf = l.framer.appendFrame(l.buf[:0], appendBatch(nil, batch))
	if _, err := l.file.Write(l.buf); err != nil {
		return wrapError("write", path, err)
	}
	if err := l.file.Sync(); err != nil {
		return wrapError("sync", path, err)
	}
	l.segmentSize += int64(len(l.buf))
	if batch.hardState != nil {
		l.loggedCommit = batch.hardState.Commit
	}
	return nil
}

// recordFailure stores an error, after which all further writes fail. After a failed sync the
// kernel may report success for the next sync although the data is lost, so nothing is retried.
func (l *Log) recordFailure(err error) error {
	if err != nil {
		l.failure = err
	}
	return err
}

// Close closes the log and unlocks the folder.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	l.commitFile.close()
	return errors.Join(err, l.lock.Close())
}

// removeUnreferenced removes the managed files that the identity does not refer to: older files,
// and newer ones that were incomplete when the process crashed.
func (l *Log) removeUnreferenced() error {
	names, err := l.fs.ReadDir(l.folder)
	if err != nil {
		return wrapError("list", l.folder, err)
	}
	keep := []string{snapshotName(l.identity.SnapshotIndex), commitName(l.identity.LastSegment)}
	for n := l.identity.FirstSegment; n <= l.identity.LastSegment; n++ {
		keep = append(keep, segmentName(n))
	}
	for _, name := range names {
		if !isManagedFile(name) || name == identityName || slices.Contains(keep, name) {
			continue
		}
		if err := l.fs.Remove(join(l.folder, name)); err != nil {
			return wrapError("remove", join(l.folder, name), err)
		}
	}
	return nil
}
