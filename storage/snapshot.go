package storage

import (
	"encoding/binary"
	"fmt"

	"github.com/balsamlb/balsamlb/consensus"
)

const snapshotPrefix = "snapshot-"

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// encodeSnapshot returns the content of a snapshot's file: one frame.
func encodeSnapshot(disk uint64, s consensus.Snapshot) []byte {
	b := binary.LittleEndian.AppendUint64(nil, s.Index)
	b = binary.LittleEndian.AppendUint64(b, s.Term)
	b = appendBytes(b, s.Membership.Encode())
	b = append(b, s.Data...)
	return newFramer(disk, s.Index).append(nil, b)
}

func decodeSnapshot(disk, index uint64, data []byte) (consensus.Snapshot, bool) {
	body, size, ok := newFramer(disk, index).next(data)
	if !ok || size != len(data) {
		return consensus.Snapshot{}, false
	}
	d := decoder{rest: body}
	s := consensus.Snapshot{Index: d.fixed(), Term: d.fixed()}
	m, err := consensus.DecodeMembership(d.bytes())
	if err != nil || d.bad || s.Index != index {
		return consensus.Snapshot{}, false
	}
	s.Membership = m
	s.Data = append([]byte(nil), d.rest...)
	return s, true
}
