package storage

import (
	"encoding/binary"
)

const (
	identityName    = "identity"
	identityVersion = 1
)

// Identity tells whose folder it is and what must be found in it.
type Identity struct {
	// Instance is the name of the instance that owns the folder.
	Instance string
	// Group is the group of replicas; 0 before one was founded.
	Group uint64
	// Disk is a random number that was chosen when the folder was created.
	Disk uint64
	// Starts counts how often the folder was opened.
	Starts uint64
	// SnapshotIndex is the index of the newest snapshot; 0: there is none.
	SnapshotIndex uint64
	// FirstSegment and Segment are the oldest and the newest segment of the log.
	FirstSegment   uint64
	LastSegment uint64
}

// identityFramer is the same for every folder, since the folder is not known before.
var identityFramer = newFramer(0, identityVersion)

func (id Identity) encode() []byte {
	b := []byte{identityVersion}
	b = appendBytes(b, []byte(id.Instance))
	for _, v := range []uint64{id.Group, id.Disk, id.Starts, id.SnapshotIndex, id.FirstSegment, id.LastSegment} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return identityFramer.append(nil, b)
}

func decodeIdentity(data []byte) (Identity, bool) {
	body, size, ok := identityFramer.next(data)
	if !ok || size != len(data) {
		return Identity{}, false
	}
	d := decoder{rest: body}
	if d.octet() != identityVersion {
		return Identity{}, false
	}
	id := Identity{Instance: string(d.bytes())}
	for _, v := range []*uint64{&id.Group, &id.Disk, &id.Starts, &id.SnapshotIndex, &id.FirstSegment, &id.LastSegment} {
		*v = d.fixed()
	}
	return id, !d.bad && len(d.rest) == 0
}

const fixedBytes = 8

func (d *decoder) fixed() uint64 {
	if len(d.rest) < fixedBytes {
		d.bad = true
		return 0
	}
	v := binary.LittleEndian.Uint64(d.rest)
	d.rest = d.rest[fixedBytes:]
	return v
}
