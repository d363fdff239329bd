package storage

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/rotisserie/eris"
)

const segmentPrefix = "log-"

func segmentName(n uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, n) }

// Stored is the content of a data folder when it was opened.
type Stored struct {
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []consensus.Entry
}

// addBatch adds the content of a batch. It returns false if entries are missing before it.
func (s *Stored) addBatch(batch saveBatch) bool {
	if batch.hardState != nil {
		s.HardState = *batch.hardState
	}
	for _, e := range batch.entries {
		if e.Index <= s.Snapshot.Index || e.Index > s.Snapshot.Index+uint64(len(s.Entries))+1 {
			return false
		}
		s.Entries = append(s.Entries[:e.Index-s.Snapshot.Index-1], e)
	}
	return true
}

// readSegment adds the frames of one segment and returns the size of the valid frames. Only the
// newest segment may end with a torn frame.
func (l *Log) readSegment(s *Stored, n uint64, newest bool) (int, error) {
	path := join(l.folder, segmentName(n))
	data, err := l.fs.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, eris.Wrapf(ErrMissing, "storage: read %s", path)
	}
	if err != nil {
		return 0, wrapError("read", path, err)
	}
	f := newFramer(l.identity.Disk, n)
	offset := 0
	for offset < len(data) {
		body, size, ok := f.decodeFrame(data[offset:])
		if !ok {
			if !newest || !f.isTornTail(data[offset:]) {
				return 0, corruptedError(path, offset, "invalid record")
			}
			l.TruncatedBytes = len(data) - offset
			return offset, nil
		}
		batch, ok := decodeBatch(body)
		if batch.unknownKind != 0 {
			return 0, l.formError(path, fmt.Sprintf("records of kind %d", batch.unknownKind))
		}
		if !ok {
			return 0, corruptedError(path, offset, "cannot decode record")
		}
		l.hasCommitRecords = l.hasCommitRecords || batch.hasCommitRecord
		if !s.addBatch(batch) {
			return 0, corruptedError(path, offset, "entries are missing before the record")
		}
		offset += size
	}
	return offset, nil
}

func (l *Log) readSnapshot() (consensus.Snapshot, error) {
	if l.identity.SnapshotIndex == 0 {
		return consensus.Snapshot{}, nil
	}
	path := join(l.folder, snapshotName(l.identity.SnapshotIndex))
	data, err := l.fs.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return consensus.Snapshot{}, eris.Wrapf(ErrMissing, "storage: read %s", path)
	}
	if err != nil {
		return consensus.Snapshot{}, wrapError("read", path, err)
	}
	s, ok := decodeSnapshot(l.identity.Disk, l.identity.SnapshotIndex, data)
	if !ok {
		return s, corruptedError(path, 0, "the snapshot is invalid")
	}
	return s, nil
}
