package storage

import (
	"encoding/binary"

	"github.com/balsamlb/balsamlb/consensus"
)

// The kinds of records in a batch.
const (
	recordHardState = iota + 1
	recordEntry
	// recordCommit completes the hard state before it. It is read and no longer written, since builds
	// that saved no commit can't read it.
	recordCommit
)

// firstSkippableRecord is the first kind of the records that a build may skip if it does not know them;
// their content follows as its length and its bytes. A record of any other unknown kind is mandatory:
// the batch can't be read without it.
const firstSkippableRecord = 0x80

// commitMark is the first byte of the vote of a hard state that holds a commit: its term is the term of
// the commit, and the index follows the mark. The hard state proper follows in the same batch and
// replaces it in builds that don't know the mark. No instance has a name that begins with a zero byte.
const commitMark = 0

// saveBatch is the content of one Save: at most one hard state, and entries.
type saveBatch struct {
	hardState *consensus.HardState
	entries   []consensus.Entry
	// hasCommitRecord means that a record was read that is no longer written.
	hasCommitRecord bool
	// unknownKind is the kind of a record that can't be read; 0 is no kind.
	unknownKind byte
}

// appendBatch encodes a batch.
func appendBatch(b []byte, batch saveBatch) []byte {
	if batch.hardState != nil {
		if c := batch.hardState.Commit; c != (consensus.Position{}) {
			b = appendHardState(b, c.Term, binary.AppendUvarint([]byte{commitMark}, c.Index))
		}
		b = appendHardState(b, batch.hardState.Term, []byte(batch.hardState.Vote))
	}
	for _, e := range batch.entries {
		b = append(b, recordEntry, byte(e.Kind))
		b = binary.AppendUvarint(b, e.Term)
		b = binary.AppendUvarint(b, e.Index)
		b = appendBytes(b, e.Data)
	}
	return b
}

func appendHardState(b []byte, term uint64, vote []byte) []byte {
	b = append(b, recordHardState)
	b = binary.AppendUvarint(b, term)
	return appendBytes(b, vote)
}

// decodeBatch decodes a batch. It returns false if the data is invalid, or holds a record of a mandatory
// kind that this build does not know, which it then returns as unknownKind.
func decodeBatch(data []byte) (saveBatch, bool) {
	var batch saveBatch
	var commit consensus.Position
	d := decoder{remaining: data}
	for len(d.remaining) > 0 && !d.failed {
		switch kind := d.readByte(); kind {
		case recordHardState:
			term, vote := d.readUvarint(), d.readBytes()
			if len(vote) > 0 && vote[0] == commitMark {
				index := decoder{remaining: vote[1:]}
				commit = consensus.Position{Term: term, Index: index.readUvarint()}
				d.failed = d.failed || index.failed
				continue
			}
			batch.hardState = &consensus.HardState{Term: term, Vote: string(vote), Commit: commit}
		case recordEntry:
			e := consensus.Entry{Kind: consensus.EntryKind(d.readByte())}
			e.Term = d.readUvarint()
			e.Index = d.readUvarint()
			e.Data = d.readBytes()
			batch.entries = append(batch.entries, e)
		case recordCommit:
			if batch.hardState == nil {
				return saveBatch{}, false
			}
			batch.hardState.Commit = consensus.Position{Term: d.readUvarint(), Index: d.readUvarint()}
			batch.hasCommitRecord = true
		default:
			if kind < firstSkippableRecord {
				return saveBatch{unknownKind: kind}, false
			}
			d.readBytes()
		}
	}
	return batch, !d.failed && (commit == consensus.Position{} || batch.hardState != nil)
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// decoder reads values from the front of a slice and records whether any read failed.
type decoder struct {
	remaining []byte
	failed    bool
}

func (d *decoder) readByte() byte {
	if len(d.remaining) == 0 {
		d.failed = true
		return 0
	}
	v := d.remaining[0]
	d.remaining = d.remaining[1:]
	return v
}

func (d *decoder) readUvarint() uint64 {
	v, n := binary.Uvarint(d.remaining)
	if n <= 0 {
		d.failed = true
		return 0
	}
	d.remaining = d.remaining[n:]
	return v
}

// readBytes returns a copy of the bytes, or nil if the length is zero.
func (d *decoder) readBytes() []byte {
	size := d.readUvarint()
	if d.failed || size > uint64(len(d.remaining)) {
		d.failed = true
		return nil
	}
	if size == 0 {
		return nil
	}
	v := append([]byte(nil), d.remaining[:size]...)
	d.remaining = d.remaining[size:]
	return v
}
