package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var errNoSpace = syscall.ENOSPC

const folder = "/data"

func reopen(m *memFS) (*Log, Stored, error) {
	m.locked = false
	return Open(Options{Folder: folder, Instance: "kandy-1", FS: m})
}

func mustOpen(t *testing.T, m *memFS) (*Log, Stored) {
	t.Helper()
	l, s, err := reopen(m)
	if err != nil {
		t.Fatal(err)
	}
	return l, s
}

func entry(term, index uint64) consensus.Entry {
	return consensus.Entry{Term: term, Index: index, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

func entries(term, from, to uint64) []consensus.Entry {
	var out []consensus.Entry
	for i := from; i <= to; i++ {
		out = append(out, entry(term, i))
	}
	return out
}

// newFilledFS returns a folder with a snapshot at index 4 and the entries 5 to 8, one per frame.
func newFilledFS(t *testing.T) *memFS {
	t.Helper()
	m := newMemFS()
	l, _ := mustOpen(t, m)
	hard := consensus.HardState{Term: 2, Vote: "galle-1"}
	snapshot := consensus.Snapshot{Index: 4, Term: 1, Membership: consensus.Membership{Group: 9, Size: 3}, Data: []byte("state")}
	if err := l.SaveSnapshot(snapshot, hard, nil); err != nil {
		t.Fatal(err)
	}
	for _, e := range entries(2, 5, 8) {
		if err := l.Save(nil, []consensus.Entry{e}); err != nil {
			t.Fatal(err)
		}
	}
	return m
}

func logPath(m *memFS) string {
	for path := range m.files {
		if strings.HasPrefix(filepath.Base(path), segmentPrefix) {
			return path
		}
	}
	return ""
}

func TestSavedDataSurvivesCrash(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	m.crash(0)
	l, s := mustOpen(t, m)
	is.Equal(s.HardState, consensus.HardState{Term: 2, Vote: "galle-1"})
	is.Equal(string(s.Snapshot.Data), "state")
	is.Equal(s.Snapshot.Membership.Group, uint64(9))
	is.Equal(s.Entries, entries(2, 5, 8))
	is.Equal(l.Identity().Starts, uint64(2))
	is.NoErr(l.Save(nil, entries(3, 6, 6)))
	m.crash(0)
	_, s = mustOpen(t, m)
	is.Equal(s.Entries, []consensus.Entry{entry(2, 5), entry(3, 6)})
}

func TestTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	f := m.files[logPath(m)]
	f.data = f.data[:len(f.data)-3]
	l, s := mustOpen(t, m)
	is.Equal(s.Entries, entries(2, 5, 7))
	is.True(l.TruncatedBytes > 0)
	is.NoErr(l.Save(nil, entries(3, 8, 8)))
	_, s = mustOpen(t, m)
	is.Equal(s.Entries[3], entry(3, 8))
}

// The test flips each bit of each file in turn. Only a flip in the last frame of the log looks like
// a torn write; Open must reject any other flip.
func TestFlippedBitIsDetected(t *testing.T) {
	is := is.New(t)
	original := newFilledFS(t)
	for path, f := range original.files {
		for bit := range len(f.data) * 8 {
			m := original.copyDurable()
			m.files[path].data[bit/8] ^= 1 << (bit % 8)
			_, s, err := reopen(m)
			if err == nil && path == logPath(original) && slices.Equal(indexes(s.Entries), []uint64{5, 6, 7}) {
				continue
			}
			if err == nil {
				t.Fatalf("bit %d of %s was flipped, but Open succeeded", bit, path)
			}
			is.True(errors.Is(err, ErrCorrupted) || errors.Is(err, ErrMissing))
			is.True(strings.Contains(err.Error(), path))
		}
	}
}

func indexes(in []consensus.Entry) []uint64 {
	var out []uint64
	for _, e := range in {
		out = append(out, e.Index)
	}
	return out
}

func TestMissingFileIsDetected(t *testing.T) {
	is := is.New(t)
	original := newFilledFS(t)
	for path := range original.files {
		m := original.copyDurable()
		delete(m.files, path)
		_, s, err := reopen(m)
		if path == folder+"/"+formName {
			// As in a folder of an earlier build, which has none: all the content is there.
			is.NoErr(err)
			is.Equal(s.Entries, entries(2, 5, 8))
			continue
		}
		is.True(errors.Is(err, ErrMissing))
		is.True(strings.Contains(err.Error(), path))
	}
}

func TestFullDiskIsFatal(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	l, _ := mustOpen(t, m)
	m.space = 10
	err := l.Save(nil, entries(2, 9, 9))
	is.True(errors.Is(err, errNoSpace))
	is.True(strings.Contains(err.Error(), folder))
	m.space = -1
	is.True(errors.Is(l.Save(nil, entries(2, 9, 9)), ErrFailed))
	m.crash(10)
	_, s := mustOpen(t, m)
	is.Equal(s.Entries, entries(2, 5, 8))
	m.space = 0
	_, _, err = reopen(m)
	is.True(errors.Is(err, errNoSpace))
}

func TestFailedSyncIsNeverRetried(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	l, _ := mustOpen(t, m)
	m.failSync = syscall.EIO
	is.True(errors.Is(l.Save(nil, entries(2, 9, 9)), syscall.EIO))
	m.failSync = nil
	syncs := m.syncs
	is.True(errors.Is(l.Save(nil, entries(2, 9, 9)), ErrFailed))
	is.True(errors.Is(l.SaveSnapshot(consensus.Snapshot{Index: 9}, consensus.HardState{}, nil), ErrFailed))
	is.Equal(m.syncs, syncs)
}

func TestOpenFailsInReadOnlyFolder(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	m.readOnly = syscall.EROFS
	_, _, err := reopen(m)
	is.True(errors.Is(err, syscall.EROFS))
	is.True(strings.Contains(err.Error(), folder))
}

func TestFolderOfAnotherInstanceIsRejected(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	m.locked = false
	_, _, err := Open(Options{Folder: folder, Instance: "galle-1", FS: m})
	is.True(errors.Is(err, ErrWrongInstance))
}

func TestSecondProcessIsLockedOut(t *testing.T) {
	is := is.New(t)
	o := Options{Folder: t.TempDir(), Instance: "kandy-1"}
	l, _, err := Open(o)
	is.NoErr(err)
	_, _, err = Open(o)
	is.True(errors.Is(err, ErrLocked))
	is.NoErr(l.Close())
	l, _, err = Open(o)
	is.NoErr(err)
	is.NoErr(l.Close())
}

func TestResetMovesFilesAsideAndCreatesNewDiskID(t *testing.T) {
	is := is.New(t)
	o := Options{Folder: t.TempDir(), Instance: "kandy-1"}
	l, _, err := Open(o)
	is.NoErr(err)
	is.NoErr(l.Save(nil, entries(1, 1, 3)))
	disk := l.Identity().Disk
	is.NoErr(l.Reset())
	is.True(l.Identity().Disk != disk)
	is.NoErr(l.Save(nil, entries(7, 1, 1)))
	is.NoErr(l.Close())
	l, s, err := Open(o)
	is.NoErr(err)
	is.Equal(s.Entries, entries(7, 1, 1))
	names, err := os.ReadDir(filepath.Join(o.Folder, asideFolder))
	is.NoErr(err)
	is.Equal(len(names), 2)
	is.NoErr(l.Close())
}

// A crash at any point must lose only data whose Save or SaveSnapshot call has not returned
// successfully.
func TestCrashKeepsAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemFS()
		l, _, err := reopen(m)
		if err != nil {
			t.Fatal(err)
		}
		model := Stored{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			last := model.Snapshot.Index + uint64(len(model.Entries))
			m.space = rapid.SampledFrom([]int{-1, -1, -1, 0, 20, 150}).Draw(t, "space")
			var err error
			if rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				at := rapid.Uint64Range(model.Snapshot.Index, last).Draw(t, "snapshot")
				s := consensus.Snapshot{Index: at + 1, Term: 1, Data: []byte("s")}
				rest := model.Entries[min(uint64(len(model.Entries)), at+1-model.Snapshot.Index):]
				if err = l.SaveSnapshot(s, model.HardState, rest); err == nil {
					model.Snapshot, model.Entries = s, slices.Clone(rest)
				}
			} else {
				from := rapid.Uint64Range(model.Snapshot.Index+1, last+1).Draw(t, "from")
				added := entries(rapid.Uint64Range(1, 9).Draw(t, "term"), from, from+rapid.Uint64Range(0, 3).Draw(t, "count"))
				if err = l.Save(nil, added); err == nil {
					model.Entries = append(model.Entries[:from-model.Snapshot.Index-1:from-model.Snapshot.Index-1], added...)
				}
			}
			if err == nil && rapid.IntRange(0, 3).Draw(t, "crash") > 0 {
				continue
			}
			m.crash(rapid.SampledFrom([]int{0, 1, 9, 40}).Draw(t, "keep"))
			m.space = -1
			var s Stored
			if l, s, err = reopen(m); err != nil {
				t.Fatal(err)
			}
			if s.Snapshot.Index != model.Snapshot.Index || !slices.Equal(indexes(s.Entries), indexes(model.Entries)) {
				// SaveSnapshot can only fail here before the new identity is written, so a failed
				// call must leave the old snapshot in use.
				t.Fatalf("stored %d + %v, acknowledged %d + %v", s.Snapshot.Index, indexes(s.Entries), model.Snapshot.Index, indexes(model.Entries))
			}
			for i, e := range s.Entries {
				if e.Term != model.Entries[i].Term {
					t.Fatalf("entry %d has term %d, not %d", e.Index, e.Term, model.Entries[i].Term)
				}
			}
		}
	})
}

func FuzzDecoders(f *testing.F) {
	f.Add(appendBatch(nil, saveBatch{hardState: &consensus.HardState{Term: 3, Vote: "a"}, entries: entries(1, 1, 3)}))
	f.Add(Identity{Instance: "kandy-1", Disk: 3}.encode())
	f.Add(encodeSnapshot(3, consensus.Snapshot{Index: 7, Term: 2, Data: []byte("state")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		if batch, ok := decodeBatch(data); ok {
			again, ok := decodeBatch(appendBatch(nil, batch))
			if !ok || len(again.entries) != len(batch.entries) {
				t.Fatal("a batch changes when it is encoded again")
			}
		}
		if id, ok := decodeIdentity(data); ok {
			if again, _ := decodeIdentity(id.encode()); again != id {
				t.Fatal("an identity changes when it is encoded again")
			}
		}
		if s, ok := decodeSnapshot(3, 7, data); ok && s.Index != 7 {
			t.Fatal("a snapshot with another index was accepted")
		}
		_, _ = consensus.DecodeMembership(data)
	})
}
