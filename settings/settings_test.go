package settings

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write docs/SETTINGS.md")

func TestSettingsPageIsUpToDate(t *testing.T) {
	is := is.New(t)
	path := filepath.Join("..", "docs", "SETTINGS.md")
	if *update {
		is.NoErr(os.WriteFile(path, []byte(Markdown()), 0o644))
	}
	page, err := os.ReadFile(path)
	is.NoErr(err)
	if string(page) != Markdown() {
		t.Fatal("docs/SETTINGS.md is out of date; run go test ./settings -update")
	}
}

func TestAllFaultsAreReported(t *testing.T) {
	is := is.New(t)
	text := "[limits]\nmax_tokens = many\ncolour = red\n[service draft]\nkind = sketch\n[sevice x]\n"
	_, err := ParseSharedConfig(File{Name: "base.ini", Text: text}, File{})
	var faults Faults
	is.True(errors.As(err, &faults))
	is.Equal(faults.Error(), `base.ini: [limits] max_tokens = "many": must be a whole number from 1 to 1048576
base.ini: [limits] colour = "red": unknown key
base.ini: [service draft] kind = "sketch": must be one of draft, plain
base.ini: [sevice x]: unknown section`)
}

func TestOverlayChangesOnlyWhatItStates(t *testing.T) {
	is := is.New(t)
	base := File{Name: "base.ini", Text: "[limits]\nmax_tokens = 100\nmax_body = 2048\n[service stock]\n"}
	overlay := File{Name: "kandy.ini", Text: "[limits]\nmax_tokens = 50\n[service stock]\nenabled = false\n"}
	cfg, err := ParseSharedConfig(base, overlay)
	is.NoErr(err)
	is.Equal(cfg.Limits.MaxTokens, 50)
	is.Equal(cfg.Limits.MaxBodyBytes, 2048)
	is.Equal(cfg.Services["stock"].Enabled, false)
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"instance.ini", "control-instance.ini"} {
		_, err := ReadProcess(filepath.Join("..", "examples", name))
		is.NoErr(err)
	}
	base, err := os.ReadFile(filepath.Join("..", "examples", "config", "base.ini"))
	is.NoErr(err)
	overlay, err := os.ReadFile(filepath.Join("..", "examples", "config", "galle.ini"))
	is.NoErr(err)
	cfg, err := ParseSharedConfig(File{Name: "base.ini", Text: string(base)}, File{Name: "galle.ini", Text: string(overlay)})
	is.NoErr(err)
	is.Equal(cfg.Limits.MaxTokens, 1024)
}
