package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/matryer/is"
)

func TestLogKeepsWhatWasSaved(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l, _, _, err := Open(folder)
	is.NoErr(err)
	hard := consensus.HardState{Term: 2, Vote: "a"}
	is.NoErr(l.Save(&hard, []consensus.Entry{{Term: 1, Index: 1, Data: []byte("x")}, {Term: 1, Index: 2}}))
	is.NoErr(l.Save(nil, []consensus.Entry{{Term: 2, Index: 2, Data: []byte("y")}}))
	is.NoErr(l.Close())

	l, got, entries, err := Open(folder)
	is.NoErr(err)
	defer l.Close()
	is.Equal(got, hard)
	is.Equal(entries, []consensus.Entry{{Term: 1, Index: 1, Data: []byte("x")}, {Term: 2, Index: 2, Data: []byte("y")}})
}

func TestTornTailIsCut(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l, _, _, err := Open(folder)
	is.NoErr(err)
	is.NoErr(l.Save(nil, []consensus.Entry{{Term: 1, Index: 1, Data: []byte("x")}}))
	is.NoErr(l.Save(nil, []consensus.Entry{{Term: 1, Index: 2, Data: []byte("y")}}))
	is.NoErr(l.Close())
	path := filepath.Join(folder, logName)
	info, err := os.Stat(path)
	is.NoErr(err)
	is.NoErr(os.Truncate(path, info.Size()-1))

	l, _, entries, err := Open(folder)
	is.NoErr(err)
	defer l.Close()
	is.Equal(len(entries), 1)
}

func TestSecondProcessIsRefused(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	l, _, _, err := Open(folder)
	is.NoErr(err)
	defer l.Close()
	_, _, _, err = Open(folder)
	is.True(errors.Is(err, ErrLocked))
}
