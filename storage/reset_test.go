package storage

import (
	"path/filepath"
	"slices"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/matryer/is"
)

// logAndSnapshot returns the content of the log segments and snapshots of the folder, by name.
func logAndSnapshot(m *memFS, folder string) map[string]string {
	out := make(map[string]string)
	for path, f := range m.files {
		if name := filepath.Base(path); filepath.Dir(path) == folder && isManagedFile(name) && name != identityName {
			out[name] = string(f.data)
		}
	}
	return out
}

// Guards against losing the files of a folder that is reset: after a stop in the middle of a reset, the
// next start deleted those that had not been moved. The process stops before each change that the reset
// makes in turn, and then before each change of the next start.
func TestResetThatIsInterruptedKeepsTheOldFiles(t *testing.T) {
	t.Run("snapshot", func(t *testing.T) { checkInterruptedReset(t, newFilledFS(t), entries(2, 5, 8)) })
	// The old segment has the same name as the first one of the new log.
	t.Run("first segment", func(t *testing.T) {
		m := newMemFS()
		l, _ := mustOpen(t, m)
		if err := l.Save(nil, entries(1, 1, 3)); err != nil {
			t.Fatal(err)
		}
		checkInterruptedReset(t, m, entries(1, 1, 3))
	})
}

// checkInterruptedReset resets copies of the folder, which holds the entries.
func checkInterruptedReset(t *testing.T, original *memFS, held []consensus.Entry) {
	is := is.New(t)
	old := logAndSnapshot(original, folder)
	points := 0
	for first, wasStopped := 0, true; wasStopped; first++ {
		for second, restarted := 0, false; !restarted; second++ {
			points++
			m := original.copyDurable()
			m.removesAtOnce = true
			l, _ := mustOpen(t, m)
			disk := l.Identity().Disk
			m.stopAfter = first
			wasStopped = l.Reset() != nil
			m.crash(0)
			m.stopAfter = second
			_, _, err := reopen(m)
			restarted = err == nil
			m.crash(0)
			l, s := mustOpen(t, m)
			if l.Identity().Disk == disk {
				is.Equal(s.Entries, held) // the reset has not begun
				continue
			}
			is.Equal(len(s.Entries), 0)
			is.Equal(s.HardState, consensus.HardState{})
			is.Equal(len(logAndSnapshot(m, folder)), 1)
			aside := logAndSnapshot(m, join(folder, asideFolder))
			for name, data := range old {
				is.Equal(aside[name], data)
			}
			names, err := m.ReadDir(join(folder, asideFolder))
			is.NoErr(err)
			is.True(slices.Contains(names, identityName))
		}
	}
	t.Logf("%d combinations of two stops", points)
}
