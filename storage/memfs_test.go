package storage

import (
	"bytes"
	"io"
	"io/fs"
	"path/filepath"
	"strings"
)

// memFile is a file with what is written and what is synced of it.
type memFile struct {
	data   []byte
	synced []byte
}

// memFS is a file system in memory whose unsynced writes and names vanish at a crash.
type memFS struct {
	live map[string]*memFile
	safe map[string]*memFile
	// space is the number of bytes that can still be written; negative: no limit.
	space int
	// failSync fails every sync; lieSync reports it as done without doing it.
	failSync, lieSync error
	readOnly          error
	locked            bool
	syncs             int
}

func newMemFS() *memFS {
	return &memFS{live: map[string]*memFile{}, safe: map[string]*memFile{}, space: -1}
}

// crash forgets all that was not synced; keep bytes of each file's unsynced end survive.
func (m *memFS) crash(keep int) {
	m.live = map[string]*memFile{}
	for path, f := range m.safe {
		data := f.synced
		if bytes.HasPrefix(f.data, f.synced) {
			data = f.data[:min(len(f.data), len(f.synced)+keep)]
		}
		data = bytes.Clone(data)
		m.live[path] = &memFile{data: data, synced: data}
	}
	m.safe = clone(m.live)
	m.locked = false
}

// copyOf returns a deep copy, as a backup of the folder would be.
func (m *memFS) copyOf() *memFS {
	c := newMemFS()
	for path, f := range m.safe {
		c.live[path] = &memFile{data: bytes.Clone(f.synced), synced: bytes.Clone(f.synced)}
	}
	c.safe = clone(c.live)
	return c
}

func clone(in map[string]*memFile) map[string]*memFile {
	out := make(map[string]*memFile, len(in))
	for path, f := range in {
		out[path] = f
	}
	return out
}

func (m *memFS) MkdirAll(string) error { return m.readOnly }

func (m *memFS) Create(path string) (File, error) {
	if m.readOnly != nil {
		return nil, m.readOnly
	}
	f := &memFile{}
	m.live[path] = f
	return &memHandle{fs: m, file: f}, nil
}

func (m *memFS) Append(path string) (File, error) {
	f, ok := m.live[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &memHandle{fs: m, file: f}, m.readOnly
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	f, ok := m.live[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(f.data), nil
}

func (m *memFS) ReadDir(path string) ([]string, error) {
	var names []string
	for p := range m.live {
		if filepath.Dir(p) == path {
			names = append(names, filepath.Base(p))
		}
	}
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	m.live[to] = m.live[from]
	delete(m.live, from)
	return nil
}

func (m *memFS) Remove(path string) error {
	delete(m.live, path)
	return nil
}

func (m *memFS) Truncate(path string, size int64) error {
	f := m.live[path]
	f.data = f.data[:size]
	f.synced = bytes.Clone(f.data)
	return nil
}

func (m *memFS) SyncDir(path string) error {
	if m.failSync != nil {
		return m.failSync
	}
	if m.lieSync != nil {
		return nil
	}
	for p := range m.safe {
		if strings.HasPrefix(p, path) {
			delete(m.safe, p)
		}
	}
	for p, f := range m.live {
		if strings.HasPrefix(p, path) {
			m.safe[p] = f
		}
	}
	return nil
}

type memLock struct{ fs *memFS }

func (l memLock) Close() error {
	l.fs.locked = false
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) {
	if m.readOnly != nil {
		return nil, m.readOnly
	}
	if m.locked {
		return nil, ErrLocked
	}
	m.locked = true
	return memLock{m}, nil
}

type memHandle struct {
	fs   *memFS
	file *memFile
}

func (h *memHandle) Write(b []byte) (int, error) {
	if h.fs.space >= 0 && len(b) > h.fs.space {
		n := h.fs.space
		h.file.data = append(h.file.data, b[:n]...)
		h.fs.space = 0
		return n, errNoSpace
	}
	if h.fs.space >= 0 {
		h.fs.space -= len(b)
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}

func (h *memHandle) Sync() error {
	h.fs.syncs++
	if h.fs.failSync != nil {
		return h.fs.failSync
	}
	if h.fs.lieSync == nil {
		h.file.synced = bytes.Clone(h.file.data)
	}
	return nil
}

func (h *memHandle) Close() error { return nil }
