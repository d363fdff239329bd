package storage

import (
	"encoding/binary"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/matryer/is"
)

// decodeFirstForm reads a batch like the builds that knew hard states and entries only.
func decodeFirstForm(data []byte) (saveBatch, bool) {
	var batch saveBatch
	d := decoder{remaining: data}
	for len(d.remaining) > 0 && !d.failed {
		switch d.readByte() {
		case recordHardState:
			batch.hardState = &consensus.HardState{Term: d.readUvarint(), Vote: string(d.readBytes())}
		case recordEntry:
			e := consensus.Entry{Kind: consensus.EntryKind(d.readByte()), Term: d.readUvarint(), Index: d.readUvarint()}
			e.Data = d.readBytes()
			batch.entries = append(batch.entries, e)
		default:
			return saveBatch{}, false
		}
	}
	return batch, !d.failed
}

// readFirstForm reads the newest segment as decodeFirstForm does.
func readFirstForm(t *testing.T, m *memFS, id Identity) saveBatch {
	t.Helper()
	var all saveBatch
	data, f := m.files[folder+"/"+segmentName(id.LastSegment)].data, newFramer(id.Disk, id.LastSegment)
	for len(data) > 0 {
		body, size, ok := f.decodeFrame(data)
		if !ok {
			t.Fatal("invalid frame")
		}
		batch, ok := decodeFirstForm(body)
		if !ok {
			t.Fatalf("a build of the first form can't read the record %x", body)
		}
		if batch.hardState != nil {
			all.hardState = batch.hardState
		}
		all.entries = append(all.entries, batch.entries...)
		data = data[size:]
	}
	return all
}

// A control instance that went back to the build before could not read its log, and ended at its start.
func TestLogWithCommitIsReadByEarlierBuilds(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	l, _ := mustOpen(t, m)
	is.NoErr(l.Save(committedAt(2, 7), nil))
	is.NoErr(l.Save(nil, entries(2, 9, 9)))
	is.NoErr(l.SaveSnapshot(consensus.Snapshot{Index: 8, Term: 2}, *committedAt(2, 8), entries(2, 9, 9)))
	is.NoErr(l.Save(committedAt(2, 9), entries(2, 10, 10)))
	got := readFirstForm(t, m, l.identity)
	is.Equal(*got.hardState, consensus.HardState{Term: 2, Vote: "galle-1"})
	is.Equal(got.entries, entries(2, 9, 10))
	m.crash(0)
	_, s := mustOpen(t, m)
	is.Equal(s.HardState, *committedAt(2, 9))
}

// commitRecordFrame returns a frame of the one form that holds a commit in a record of its own.
func commitRecordFrame(id Identity, e ...consensus.Entry) []byte {
	b := appendBatch(nil, saveBatch{hardState: &consensus.HardState{Term: 2, Vote: "galle-1"}})
	b = append(b, recordCommit)
	b = binary.AppendUvarint(binary.AppendUvarint(b, 2), 8)
	b = append(b, appendBatch(nil, saveBatch{entries: e})...)
	return newFramer(id.Disk, id.LastSegment).appendFrame(nil, b)
}

// The log of a build that wrote commits in records of their own stayed unreadable for earlier builds
// until the next snapshot. A crash at each step of writing it anew must lose nothing.
func TestLogWithCommitRecordsIsWrittenAnew(t *testing.T) {
	is := is.New(t)
	for steps := 0; ; steps++ {
		m := newFilledFS(t)
		l, _ := mustOpen(t, m)
		f := m.files[logPath(m)]
		f.data = append(f.data, commitRecordFrame(l.identity, entry(2, 9))...)
		f.synced = f.data
		m.stopAfter = steps
		_, _, err := reopen(m)
		m.crash(0)
		l, s := mustOpen(t, m)
		is.Equal(s.Entries, entries(2, 5, 9))
		is.Equal(s.HardState, *committedAt(2, 8))
		is.Equal(readFirstForm(t, m, l.identity).entries, entries(2, 5, 9))
		if err == nil {
			return
		}
	}
}

// An earlier build leaves the file of commits where it is and continues the log beside it. It may
// replace entries that were not committed.
func TestCommitsBesideALogContinuedByAnEarlierBuild(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	l, _ := mustOpen(t, m)
	is.NoErr(l.Save(committedAt(2, 6), nil))
	l, _ = mustOpen(t, m)
	// The earlier build writes into the same segment.
	f := m.files[logPath(m)]
	b := append([]byte{recordHardState}, binary.AppendUvarint(nil, 3)...)
	b = appendBytes(b, []byte("galle-1"))
	b = append(b, appendBatch(nil, saveBatch{entries: entries(3, 7, 9)})...)
	f.data = newFramer(l.identity.Disk, l.identity.LastSegment).appendFrame(f.data, b)
	_, s := mustOpen(t, m)
	is.Equal(s.HardState, consensus.HardState{Term: 3, Vote: "galle-1", Commit: consensus.Position{Term: 2, Index: 6}})
	is.Equal(s.Entries, append(entries(2, 5, 6), entries(3, 7, 9)...))

	// It emptied the folder, and left the file of commits of the folder before.
	stale := m.files[folder+"/"+commitName(l.identity.LastSegment)].data
	l, _ = mustOpen(t, m)
	is.NoErr(l.Reset())
	is.NoErr(l.Save(&consensus.HardState{Term: 3}, entries(2, 1, 8)))
	m.files[folder+"/"+commitName(l.identity.LastSegment)] = &memFile{data: stale}
	_, s = mustOpen(t, m)
	is.Equal(s.HardState.Commit, consensus.Position{})
}
