package storage

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"strings"
)

// memFile is a file with its written and its synced content.
type memFile struct {
	data   []byte
	synced []byte
}

// memFS is an in-memory file system that loses unsynced writes and names in a crash.
type memFS struct {
	files   map[string]*memFile
	durable map[string]*memFile
	// space is the number of bytes that can still be written; negative: no limit.
	space int
	// failSync is returned by every sync. If ignoreSync is set, syncs succeed without effect.
	failSync, ignoreSync error
	readOnly             error
	locked               bool
	syncs                int
	// stopAfter is the number of changes, such as writes, renames and syncs, that still succeed.
	// Later ones have no effect and return errStopped. Negative: no limit.
	stopAfter int
	// removesAtOnce means that a removal is durable before its folder is synced, as it may be.
	removesAtOnce bool
}

// errStopped stands for the end of the process.
var errStopped = errors.New("memfs: the process has ended")

// change counts a change, and returns an error if the process has ended before it.
func (m *memFS) change() error {
	if m.stopAfter == 0 {
		return errStopped
	}
	m.stopAfter--
	return nil
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, durable: map[string]*memFile{}, space: -1, stopAfter: -1}
}

// crash discards unsynced data, except for the first keep unsynced bytes of each file.
func (m *memFS) crash(keep int) {
	m.files = map[string]*memFile{}
	for path, f := range m.durable {
		data := f.synced
		if bytes.HasPrefix(f.data, f.synced) {
			data = f.data[:min(len(f.data), len(f.synced)+keep)]
		}
		data = bytes.Clone(data)
		m.files[path] = &memFile{data: data, synced: data}
	}
	m.durable = cloneFiles(m.files)
	m.locked = false
	m.stopAfter = -1
}

// copyDurable returns a deep copy of the synced content.
func (m *memFS) copyDurable() *memFS {
	c := newMemFS()
	for path, f := range m.durable {
		c.files[path] = &memFile{data: bytes.Clone(f.synced), synced: bytes.Clone(f.synced)}
	}
	c.durable = cloneFiles(c.files)
	return c
}

func cloneFiles(in map[string]*memFile) map[string]*memFile {
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
	if err := m.change(); err != nil {
		return nil, err
	}
	f := &memFile{}
	m.files[path] = f
	return &memHandle{fs: m, file: f}, nil
}

func (m *memFS) Append(path string) (File, error) {
	f, ok := m.files[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &memHandle{fs: m, file: f}, m.readOnly
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	f, ok := m.files[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return bytes.Clone(f.data), nil
}

func (m *memFS) ReadDir(path string) ([]string, error) {
	var names []string
	for p := range m.files {
		if filepath.Dir(p) == path {
			names = append(names, filepath.Base(p))
		}
	}
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.change(); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.change(); err != nil {
		return err
	}
	delete(m.files, path)
	if m.removesAtOnce {
		delete(m.durable, path)
	}
	return nil
}

func (m *memFS) Truncate(path string, size int64) error {
	if err := m.change(); err != nil {
		return err
	}
	f := m.files[path]
	f.data = f.data[:size]
	f.synced = bytes.Clone(f.data)
	return nil
}

func (m *memFS) SyncDir(path string) error {
	if err := m.change(); err != nil {
		return err
	}
	if m.failSync != nil {
		return m.failSync
	}
	if m.ignoreSync != nil {
		return nil
	}
	for p := range m.durable {
		if strings.HasPrefix(p, path) {
			delete(m.durable, p)
		}
	}
	for p, f := range m.files {
		if strings.HasPrefix(p, path) {
			m.durable[p] = f
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
	if err := h.fs.change(); err != nil {
		return 0, err
	}
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
	if err := h.fs.change(); err != nil {
		return err
	}
	h.fs.syncs++
	if h.fs.failSync != nil {
		return h.fs.failSync
	}
	if h.fs.ignoreSync == nil {
		h.file.synced = bytes.Clone(h.file.data)
	}
	return nil
}

func (h *memHandle) Close() error { return nil }
