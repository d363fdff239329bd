package main

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

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
