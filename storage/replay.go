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

// Stored is what a folder held when it was opened.
type Stored struct {
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []consensus.Entry
}

// take adds what one batch holds; false means that entries are missing before it.
func (s *Stored) take(x batch) bool {
	if x.hard != nil {
		s.HardState = *x.hard
	}
	for _, e := range x.entries {
		if e.Index <= s.Snapshot.Index || e.Index > s.Snapshot.Index+uint64(len(s.Entries))+1 {
			return false
		}
		s.Entries = append(s.Entries[:e.Index-s.Snapshot.Index-1], e)
	}
	return true
}

// readSegment takes the frames of one segment. The newest segment may end in a torn frame;
// its good length is returned.
func (l *Log) readSegment(s *Stored, n uint64, newest bool) (int, error) {
	path := join(l.folder, segmentName(n))
	data, err := l.fs.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, eris.Wrapf(ErrMissing, "storage: read %s", path)
	}
	if err != nil {
		return 0, fail("read", path, err)
	}
	f := newFramer(l.identity.Disk, n)
	offset := 0
	for offset < len(data) {
		body, size, ok := f.next(data[offset:])
		if !ok {
			if !newest || !f.isTail(data[offset:]) {
				return 0, damaged(path, offset, "a record was changed")
			}
			l.TruncatedBytes = len(data) - offset
			return offset, nil
		}
		x, ok := decodeBatch(body)
		if !ok {
			return 0, damaged(path, offset, "a record can't be decoded")
		}
		if !s.take(x) {
			return 0, damaged(path, offset, "entries are missing before the record")
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
		return consensus.Snapshot{}, fail("read", path, err)
	}
	s, ok := decodeSnapshot(l.identity.Disk, l.identity.SnapshotIndex, data)
	if !ok {
		return s, damaged(path, 0, "the snapshot was changed")
	}
	return s, nil
}
