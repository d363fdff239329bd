package archtest

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var productionLine = regexp.MustCompile(`(?m)^production = "([0-9a-f]{7,40})"$`)

// git returns the output of git in the root of the repository.
func git(args ...string) (string, error) {
	out, err := exec.Command("git", append([]string{"-C", filepath.Join("..", "..")}, args...)...).Output()
	return strings.TrimSpace(string(out)), err
}

// Guards against a deploy file that names a version which can't be built, or this build itself, as the one to upgrade from.
func TestProductionIsAnEarlierCommitOfTheHistory(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "system.toml"))
	is.NoErr(err)
	line := productionLine.FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/system.toml names no production commit")
	}
	production := string(line[1])
	shallow, err := git("rev-parse", "--is-shallow-repository")
	if err != nil || shallow != "false" {
		t.Skipf("the clone has no complete history (shallow: %q, %v), so production = %q isn't checked", shallow, err, production)
	}
	head, err := git("rev-parse", "HEAD")
	is.NoErr(err)
	commit, err := git("rev-parse", "--verify", production+"^{commit}")
	if err != nil {
		t.Fatalf("production = %q isn't in the history: %v", production, err)
	}
	if commit == head {
		t.Fatalf("production = %q is this build itself", production)
	}
	if _, err := git("merge-base", "--is-ancestor", commit, head); err != nil {
		t.Fatalf("production = %q isn't an ancestor of %s: %v", production, head, err)
	}
}
