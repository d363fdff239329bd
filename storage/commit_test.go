package storage

import (
	"encoding/hex"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/matryer/is"
)

func committedAt(term, index uint64) *consensus.HardState {
	return &consensus.HardState{Term: 2, Vote: "galle-1", Commit: consensus.Position{Term: term, Index: index}}
}

// A commit is saved without a sync. It is there after the end of the process, and after a loss of power
// at the latest with the next Save that syncs.
func TestCommitIsSavedWithoutASync(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	l, _ := mustOpen(t, m)
	syncs := m.syncs
	is.NoErr(l.Save(committedAt(2, 7), nil))
	is.NoErr(l.Save(committedAt(2, 8), nil))
	is.Equal(m.syncs, syncs)
	killed, lostPower := *m, m.copyDurable()
	_, s := mustOpen(t, &killed)
	is.Equal(s.HardState, *committedAt(2, 8))
	_, s = mustOpen(t, lostPower)
	is.Equal(s.HardState, *committedAt(0, 0))
	l, s = mustOpen(t, m)
	is.Equal(s.HardState, *committedAt(2, 8))
	is.NoErr(l.Save(committedAt(2, 8), nil))
	is.NoErr(l.Save(nil, entries(2, 9, 9)))
	m.crash(0)
	_, s = mustOpen(t, m)
	is.Equal(s.HardState, *committedAt(2, 8))
}

// The log and the commit may come from different moments: the log has lost its end, or the disk has
// ignored syncs. A commit counts only if the log holds the entry at its position; without it, the one
// that the log itself holds counts.
func TestCommitBeyondTheLogIsIgnored(t *testing.T) {
	for _, test := range []struct {
		name   string
		damage func(log, commit *memFile)
	}{
		{"torn tail of the log", func(log, _ *memFile) { log.data = log.data[:len(log.data)-3] }},
		{"torn commit", func(_, commit *memFile) { commit.data = commit.data[:len(commit.data)-1] }},
		{"flipped bit in the commit", func(_, commit *memFile) { commit.data[len(commit.data)-1] ^= 1 }},
		{"empty commit", func(_, commit *memFile) { commit.data = nil }},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := newFilledFS(t)
			l, _ := mustOpen(t, m)
			is.NoErr(l.Save(committedAt(2, 6), entries(2, 9, 9)))
			is.NoErr(l.Save(committedAt(2, 6), entries(2, 10, 10)))
			is.NoErr(l.Save(committedAt(2, 10), nil))
			test.damage(m.files[logPath(m)], m.files[folder+"/"+commitName(l.identity.LastSegment)])
			_, s := mustOpen(t, m)
			is.Equal(s.HardState, *committedAt(2, 6))
		})
	}
}

// The disk lost the frames in which a later leader replaced uncommitted entries, but kept the commit of
// the new ones.
func TestCommitOfReplacedEntriesIsIgnored(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	l, _ := mustOpen(t, m)
	before := len(m.files[logPath(m)].data)
	is.NoErr(l.Save(nil, entries(3, 7, 8)))
	is.NoErr(l.Save(committedAt(3, 8), nil))
	m.files[logPath(m)].data = m.files[logPath(m)].data[:before]
	_, s := mustOpen(t, m)
	is.Equal(s.Entries, entries(2, 5, 8))
	is.Equal(s.HardState, *committedAt(0, 0))
}

func TestCommitSurvivesRotationSnapshotAndReset(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	l, _ := mustOpen(t, m)
	is.NoErr(l.Save(committedAt(2, 7), nil))
	l.segmentSize = maxSegmentBytes
	is.NoErr(l.Save(nil, entries(2, 9, 9)))
	m.crash(0)
	l, s := mustOpen(t, m)
	is.Equal(s.HardState, *committedAt(2, 7))
	is.NoErr(l.Save(committedAt(2, 8), nil))
	is.NoErr(l.SaveSnapshot(consensus.Snapshot{Index: 8, Term: 2, Data: []byte("s")}, *committedAt(2, 9), entries(2, 9, 9)))
	m.crash(0)
	l, s = mustOpen(t, m)
	is.Equal(s.HardState, *committedAt(2, 9))
	is.NoErr(l.Save(committedAt(2, 9), nil))
	is.NoErr(l.Reset())
	_, s = mustOpen(t, m)
	is.Equal(s.HardState, consensus.HardState{})
	names, err := m.ReadDir(folder)
	is.NoErr(err)
	is.Equal(len(names), 3) // the identity, the form and the log
}

// A commit that can't be written costs a later start some time, and must not stop the replica.
func TestFullDiskLosesOnlyTheCommit(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	l, _ := mustOpen(t, m)
	m.space = 4
	is.NoErr(l.Save(committedAt(2, 7), nil))
	m.space = -1
	is.NoErr(l.Save(committedAt(2, 8), nil)) // not appended to the torn one
	_, s := mustOpen(t, m)
	is.Equal(s.HardState, *committedAt(0, 0))
	l, _ = mustOpen(t, m)
	is.NoErr(l.Save(committedAt(2, 8), entries(2, 9, 9)))
	_, s = mustOpen(t, m)
	is.Equal(s.HardState, *committedAt(2, 8))
}

// The frames are those that versions without a saved commit have written.
func TestRecordWithoutCommitIsReadable(t *testing.T) {
	is := is.New(t)
	old, err := hex.DecodeString("010207" + hex.EncodeToString([]byte("galle-1")) + "02000205" + "03" + hex.EncodeToString([]byte("abc")))
	is.NoErr(err)
	batch, ok := decodeBatch(old)
	is.True(ok)
	is.Equal(*batch.hardState, *committedAt(0, 0))
	is.Equal(batch.entries, []consensus.Entry{{Term: 2, Index: 5, Data: []byte("abc")}})
	is.Equal(appendBatch(nil, batch), old)
}
