package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// adapterFolder is the only folder whose code may use the names of the users' platform.
const adapterFolder = "platform"

// platformNames are names that belong to the platform's interfaces.
var platformNames = []string{
	"Balsamlb-", "At-Server", "Server-Leaving", "\"/-/", "TrafficSplit", "KvBytes", "ColdLeftMs", "LayerMb", "non_idempotent", "HeartbeatUrl",
}

// adapterImports are the packages of this module that the adapter may import.
var adapterImports = []string{
	"controller", "discovery", "gateway", "layers", "routing", "selfreport", "upstream",
}

// outputFolder holds what builds have written, such as the sources of the version named production.
const outputFolder = "target"

// forEachSource calls f for each Go file below root that is not a test.
func forEachSource(t *testing.T, root string, f func(path string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err == nil && d.IsDir() && path == filepath.Join(root, outputFolder) {
			return filepath.SkipDir
		}
		if err == nil && !d.IsDir() && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			f(path)
		}
		return err
	})
	is.New(t).NoErr(err)
}

func TestOnlyAdapterUsesPlatformNames(t *testing.T) {
	is := is.New(t)
	root := filepath.Join("..", "..")
	forEachSource(t, root, func(path string) {
		if strings.HasPrefix(path, filepath.Join(root, adapterFolder)+string(filepath.Separator)) {
			return
		}
		text, err := os.ReadFile(path)
		is.NoErr(err)
		for _, name := range platformNames {
			if strings.Contains(string(text), name) {
				t.Errorf("%s holds the platform's name %q", path, name)
			}
		}
		if strings.Contains(string(text), `balsamlb/platform"`) && !strings.HasPrefix(path, filepath.Join(root, "daemon")) {
			t.Errorf("%s imports the adapter; only daemon may", path)
		}
	})
}

// TestAdapterContainsNoDecisionLogic checks that the adapter starts no goroutine, waits for
// nothing, has no queue, and imports only a few packages of this module.
func TestAdapterContainsNoDecisionLogic(t *testing.T) {
	is := is.New(t)
	forEachSource(t, filepath.Join("..", "..", adapterFolder), func(path string) {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		is.NoErr(err)
		for _, imp := range file.Imports {
			name, _ := strconv.Unquote(imp.Path.Value)
			localPackage, isLocal := strings.CutPrefix(name, "github.com/balsamlb/balsamlb/")
			if isLocal && !slices.Contains(adapterImports, localPackage) || name == "sync" || strings.HasPrefix(name, "math/rand") {
				t.Errorf("%s imports %s", path, name)
			}
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt, *ast.SelectStmt, *ast.ChanType:
				t.Errorf("%s: the adapter uses a goroutine, a select or a channel", path)
			case *ast.SelectorExpr:
				if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(forbiddenCalls, "time."+n.Sel.Name) {
					t.Errorf("%s calls time.%s", path, n.Sel.Name)
				}
			}
			return true
		})
	})
}
