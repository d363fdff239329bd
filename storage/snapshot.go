package storage

import (
	"encoding/binary"
	"fmt"

	"github.com/balsamlb/balsamlb/consensus"
)

const snapshotPrefix = "snapshot-"

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// encodeSnapshot returns the content of a snapshot file, which is one frame.
func encodeSnapshot(disk uint64, s consensus.Snapshot) []byte {
	b := binary.LittleEndian.AppendUint64(nil, s.Index)
	b = binary.LittleEndian.AppendUint64(b, s.Term)
	b = appendBytes(b, s.Membership.Encode())
	b = append(b, s.Data...)
	return newFramer(disk, s.Index).appendFrame(nil, b)
}

func decodeSnapshot(disk, index uint64, data []byte) (consensus.Snapshot, bool) {
	body, size, ok := newFramer(disk, index).decodeFrame(data)
	if !ok || size != len(data) {
		return consensus.Snapshot{}, false
	}
	d := decoder{remaining: body}
	s := consensus.Snapshot{Index: d.readUint64(), Term: d.readUint64()}
	m, err := consensus.DecodeMembership(d.readBytes())
	if err != nil || d.failed || s.Index != index {
		return consensus.Snapshot{}, false
	}
	s.Membership = m
	s.Data = append([]byte(nil), d.remaining...)
	return s, true
}
