// Package storage keeps a control instance's state in files under one data folder.
//
// The log is a sequence of records, each framed by its length and CRC-32C. A record counts
// as stored only after Save has returned, which is after the file was synced.
package storage

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// ErrLocked means that another process uses the data folder.
var ErrLocked = errors.New("storage: the data folder is in use by another process")

const (
	logName         = "log"
	lockName        = "lock"
	headerBytes     = 8
	maxRecordBytes  = 64 << 20
	folderMode      = 0o700
	fileMode        = 0o600
	writeBufferSize = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one line of the log: a hard state or an entry.
type record struct {
	HardState *consensus.HardState `json:"h,omitempty"`
	Entry     *consensus.Entry     `json:"e,omitempty"`
}

// Log is an append-only file of hard states and entries.
type Log struct {
	file *os.File
	lock *os.File
	buf  *bufio.Writer
}

// Open locks the folder, reads what is stored and cuts a torn tail.
func Open(folder string) (*Log, consensus.HardState, []consensus.Entry, error) {
	var hard consensus.HardState
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, hard, nil, eris.Wrapf(err, "storage: create %s", folder)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, hard, nil, err
	}
	path := filepath.Join(folder, logName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		lock.Close()
		return nil, hard, nil, eris.Wrapf(err, "storage: open %s", path)
	}
	hard, entries, good, err := replay(file)
	if err == nil {
		err = cutTail(file, good)
	}
	if err != nil {
		file.Close()
		lock.Close()
		return nil, hard, nil, eris.Wrapf(err, "storage: read %s", path)
	}
	l := &Log{file: file, lock: lock, buf: bufio.NewWriterSize(file, writeBufferSize)}
	return l, hard, entries, nil
}

// Save appends and syncs the hard state and entries.
func (l *Log) Save(hard *consensus.HardState, entries []consensus.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if hard != nil {
		if err := l.append(record{HardState: hard}); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := l.append(record{Entry: &entries[i]}); err != nil {
			return err
		}
	}
	if err := l.buf.Flush(); err != nil {
		return eris.Wrapf(err, "storage: write %s", l.file.Name())
	}
	if err := l.file.Sync(); err != nil {
		return eris.Wrapf(err, "storage: sync %s", l.file.Name())
	}
	return nil
}

// Close releases the folder.
func (l *Log) Close() error {
	err := l.file.Close()
	return errors.Join(err, l.lock.Close())
}

func (l *Log) append(r record) error {
	body, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "storage: encode record")
	}
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[:4], uint32(len(body)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(body, castagnoli))
	if _, err := l.buf.Write(header[:]); err != nil {
		return eris.Wrapf(err, "storage: write %s", l.file.Name())
	}
	if _, err := l.buf.Write(body); err != nil {
		return eris.Wrapf(err, "storage: write %s", l.file.Name())
	}
	return nil
}

func lockFolder(folder string) (*os.File, error) {
	path := filepath.Join(folder, lockName)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, eris.Wrapf(err, "storage: open %s", path)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, eris.Wrapf(ErrLocked, "storage: lock %s", path)
	}
	return f, nil
}

// replay reads records up to the first damaged one and returns the offset after the last
// good one.
func replay(file *os.File) (consensus.HardState, []consensus.Entry, int64, error) {
	var hard consensus.HardState
	var entries []consensus.Entry
	var good int64
	in := bufio.NewReader(file)
	for {
		body, err := readRecord(in)
		if errors.Is(err, io.EOF) || errors.Is(err, errDamaged) {
			return hard, entries, good, nil
		}
		if err != nil {
			return hard, nil, 0, err
		}
		var r record
		if err := json.Unmarshal(body, &r); err != nil {
			return hard, nil, 0, eris.Wrapf(err, "record at offset %d", good)
		}
		if r.HardState != nil {
			hard = *r.HardState
		}
		if r.Entry != nil {
			entries = append(entries[:r.Entry.Index-1], *r.Entry)
		}
		good += headerBytes + int64(len(body))
	}
}

var errDamaged = errors.New("damaged record")

func readRecord(in *bufio.Reader) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return nil, endOrDamage(err)
	}
	size := binary.LittleEndian.Uint32(header[:4])
	if size > maxRecordBytes {
		return nil, errDamaged
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, endOrDamage(err)
	}
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, errDamaged
	}
	return body, nil
}

func endOrDamage(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return errDamaged
	}
	return err
}

func cutTail(file *os.File, good int64) error {
	if err := file.Truncate(good); err != nil {
		return err
	}
	_, err := file.Seek(good, io.SeekStart)
	return err
}
