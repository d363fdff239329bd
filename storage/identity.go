package storage

import (
	"encoding/binary"
)

const (
	identityName    = "identity"
	identityVersion = 1
)

// Identity identifies the owner of a data folder and the files that the folder must contain.
type Identity struct {
	// Instance is the name of the instance that owns the folder.
	Instance string
	// Group is the ID of the group of replicas in the newest snapshot; 0 before the first one.
	Group uint64
	// Disk is a random ID that is chosen when the folder is created or reset.
	Disk uint64
	// Starts is the number of times that the folder was opened.
	Starts uint64
	// SnapshotIndex is the log index of the newest snapshot; 0: there is none.
	SnapshotIndex uint64
	// FirstSegment and LastSegment are the numbers of the oldest and the newest log segment.
	FirstSegment uint64
	LastSegment  uint64
}

// identityFramer has the same seed for every folder, since the disk ID is unknown until the
// identity is read.
var identityFramer = newFramer(0, identityVersion)

func (id Identity) encode() []byte {
	b := []byte{identityVersion}
	b = appendBytes(b, []byte(id.Instance))
	for _, v := range []uint64{id.Group, id.Disk, id.Starts, id.SnapshotIndex, id.FirstSegment, id.LastSegment} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return identityFramer.appendFrame(nil, b)
}

func decodeIdentity(data []byte) (Identity, bool) {
	body, size, ok := identityFramer.decodeFrame(data)
	if !ok || size != len(data) {
		return Identity{}, false
	}
	d := decoder{remaining: body}
	if d.readByte() != identityVersion {
		return Identity{}, false
	}
	id := Identity{Instance: string(d.readBytes())}
	for _, v := range []*uint64{&id.Group, &id.Disk, &id.Starts, &id.SnapshotIndex, &id.FirstSegment, &id.LastSegment} {
		*v = d.readUint64()
	}
	return id, !d.failed && len(d.remaining) == 0
}

const uint64Bytes = 8

func (d *decoder) readUint64() uint64 {
	if len(d.remaining) < uint64Bytes {
		d.failed = true
		return 0
	}
	v := binary.LittleEndian.Uint64(d.remaining)
	d.remaining = d.remaining[uint64Bytes:]
	return v
}
