package storage

import (
	"encoding/binary"

	"github.com/balsamlb/balsamlb/consensus"
)

// The kinds of records in a batch.
const (
	recordHardState = iota + 1
	recordEntry
)

// batch is what one Save has written: at most one hard state, and entries.
type batch struct {
	hard    *consensus.HardState
	entries []consensus.Entry
}

// appendBatch encodes a batch.
func appendBatch(b []byte, x batch) []byte {
	if x.hard != nil {
		b = append(b, recordHardState)
		b = binary.AppendUvarint(b, x.hard.Term)
		b = appendBytes(b, []byte(x.hard.Vote))
	}
	for _, e := range x.entries {
		b = append(b, recordEntry, byte(e.Kind))
		b = binary.AppendUvarint(b, e.Term)
		b = binary.AppendUvarint(b, e.Index)
		b = appendBytes(b, e.Data)
	}
	return b
}

// decodeBatch reads a batch; false means that it is not one.
func decodeBatch(data []byte) (batch, bool) {
	var x batch
	d := decoder{rest: data}
	for len(d.rest) > 0 && !d.bad {
		switch d.octet() {
		case recordHardState:
			x.hard = &consensus.HardState{Term: d.uvarint(), Vote: string(d.bytes())}
		case recordEntry:
			e := consensus.Entry{Kind: consensus.EntryKind(d.octet())}
			e.Term = d.uvarint()
			e.Index = d.uvarint()
			e.Data = d.bytes()
			x.entries = append(x.entries, e)
		default:
			return batch{}, false
		}
	}
	return x, !d.bad
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// decoder takes values off the front of a slice and remembers any fault.
type decoder struct {
	rest []byte
	bad  bool
}

func (d *decoder) octet() byte {
	if len(d.rest) == 0 {
		d.bad = true
		return 0
	}
	v := d.rest[0]
	d.rest = d.rest[1:]
	return v
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.bad = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// bytes returns a copy, or nil when the length is zero.
func (d *decoder) bytes() []byte {
	size := d.uvarint()
	if d.bad || size > uint64(len(d.rest)) {
		d.bad = true
		return nil
	}
	if size == 0 {
		return nil
	}
	v := append([]byte(nil), d.rest[:size]...)
	d.rest = d.rest[size:]
	return v
}
