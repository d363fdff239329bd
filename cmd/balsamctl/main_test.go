package main

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/balsamlb/balsamlb/storage"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write docs/CLI.md")

func TestCommandPageIsUpToDate(t *testing.T) {
	is := is.New(t)
	t.Setenv("USER", "")
	path := filepath.Join("..", "..", "docs", "CLI.md")
	if *update {
		is.NoErr(os.WriteFile(path, []byte(page()), 0o644))
	}
	text, err := os.ReadFile(path)
	is.NoErr(err)
	if string(text) != page() {
		t.Fatal("docs/CLI.md is out of date; run go test ./cmd/balsamctl -update")
	}
}

func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		args string
		code int
	}{
		{"", exitUsage},
		{"-help", exitOK},
		{"status -no-such-flag", exitUsage},
		{"drain", exitUsage},
		{"config", exitUsage},
		{"bench", exitUsage},
		{"status -instance 127.0.0.1:1", exitFailure},
		{"trace", exitUsage},
		{"completion basic", exitUsage},
		{"completion bash", exitOK},
		{"config check -folder ../../examples/config", exitOK},
		{"config check -folder testdata", exitFailure},
	} {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			is.Equal(run(t.Context(), strings.Fields(c.args)), c.code)
		})
	}
}

// Guards against losing an earlier archive: a backup of a folder that is in use, or that can't be
// written, truncated and then removed the file.
func TestFailedBackupKeepsTheEarlierArchive(t *testing.T) {
	is := is.New(t)
	folder, archive := t.TempDir(), filepath.Join(t.TempDir(), "archive")
	is.NoErr(os.WriteFile(filepath.Join(folder, "identity"), []byte("x"), 0o600))
	backup := func() int { return run(t.Context(), []string{"backup", "-data-folder", folder, archive}) }
	is.Equal(backup(), exitOK)
	earlier, err := os.ReadFile(archive)
	is.NoErr(err)
	lock, err := storage.OS{}.Lock(filepath.Join(folder, "lock"))
	is.NoErr(err)
	is.Equal(backup(), exitFailure)
	is.NoErr(lock.Close())
	kept, err := os.ReadFile(archive)
	is.NoErr(err)
	is.Equal(kept, earlier)
	// A path that can't be created is not removed either.
	is.NoErr(os.Remove(archive))
	is.NoErr(os.Mkdir(archive, 0o700))
	is.Equal(backup(), exitFailure)
	_, err = os.Stat(archive)
	is.NoErr(err)
	names, err := os.ReadDir(filepath.Dir(archive))
	is.NoErr(err)
	is.Equal(len(names), 1) // no temporary file stays
}
