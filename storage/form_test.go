package storage

import (
	"bytes"
	"errors"
	"maps"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func appendFrameTo(m *memFS, l *Log, body []byte) {
	f := m.files[logPath(m)]
	f.data = newFramer(l.identity.Disk, l.identity.LastSegment).appendFrame(f.data, body)
}

// A folder of a newer build counted as damaged, and files that only the newer build knows were removed
// before its log was read.
func TestFolderOfANewerFormIsLeftAsItIs(t *testing.T) {
	for _, test := range []struct {
		name, reason string
		change       func(m *memFS, l *Log)
	}{
		{"record", "records of kind 9", func(m *memFS, l *Log) { appendFrameTo(m, l, []byte{9, 1, 2}) }},
		{"identity", "an identity of version 2", func(m *memFS, _ *Log) {
			m.files[folder+"/identity"].data = identityFramer.appendFrame(nil, []byte{2, 3, 4})
		}},
		{"form", "form 2", func(m *memFS, l *Log) {
			m.files[folder+"/form"].data = folderFormFile{form: 2, build: "newer"}.encode()
			// Frames of another layout look like a torn end.
			m.files[logPath(m)].data = append(m.files[logPath(m)].data, "another layout"...)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := newFilledFS(t)
			l, _, err := Open(Options{Folder: folder, Instance: "kandy-1", FS: unlockedFS(m), Build: "newer"})
			is.NoErr(err)
			test.change(m, l)
			m.files[folder+"/log-of-the-newer-build"] = &memFile{data: []byte("new")}
			before := map[string]string{}
			for path, f := range m.files {
				before[path] = string(f.data)
			}
			_, _, err = reopen(m)
			var form *FormError
			is.True(errors.As(err, &form))
			is.Equal(form.Build, "newer")
			is.Equal(form.Form, test.reason)
			is.True(!errors.Is(err, ErrCorrupted))
			after := map[string]string{}
			for path, f := range m.files {
				after[path] = string(f.data)
			}
			is.True(maps.Equal(before, after))
		})
	}
}

// unlockedFS returns the file system without the lock of an earlier Open.
func unlockedFS(m *memFS) *memFS {
	m.locked = false
	return m
}

// What a newer build marks as skippable must not stop an older one. What is cut short is damage, also
// behind the mark.
func TestSkippableRecordsAreSkipped(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	l, _ := mustOpen(t, m)
	body := appendBytes([]byte{firstSkippableRecord + 3}, []byte("later"))
	appendFrameTo(m, l, append(body, appendBatch(nil, saveBatch{entries: entries(2, 9, 9)})...))
	l, s := mustOpen(t, m)
	is.Equal(s.Entries, entries(2, 5, 9))
	appendFrameTo(m, l, []byte{firstSkippableRecord, 200})
	_, _, err := reopen(m)
	is.True(errors.Is(err, ErrCorrupted))
}

// What the owner of the folder can't use is refused before the folder counts the start.
func TestContentThatTheOwnerRefusesIsLeftAsItIs(t *testing.T) {
	is := is.New(t)
	m := newFilledFS(t)
	mustOpen(t, m)
	before := bytes.Clone(m.files[folder+"/identity"].data)
	m.locked = false
	_, _, err := Open(Options{Folder: folder, Instance: "kandy-1", FS: m, Build: "older", Check: func(s Stored) error {
		is.Equal(s.Snapshot.Index, uint64(4))
		return &FormError{Form: "a snapshot of version 7"}
	}})
	is.True(strings.Contains(err.Error(), "/data: a snapshot of version 7 can't be read by this build (older)"))
	is.Equal(m.files[folder+"/identity"].data, before)
}
