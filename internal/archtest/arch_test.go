// Package archtest checks architecture rules: which packages are pure, and which may know the
// names of the platform.
package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// decisionPackages are the pure packages: they receive the time and events as input and return
// actions.
var decisionPackages = []string{
	"admission", "config", "consensus", "credit", "delivery", "discovery", "drain", "fleet", "formlevel", "intake", "layers", "ledger", "membership", "outcome", "pipeline",
	"placement", "quarantine", "reachability", "replica", "retry", "route", "routing", "selfreport",
}

// forbiddenImports are packages that do I/O, log, or communicate with other processes.
var forbiddenImports = []string{
	"net", "os", "io/fs", "log", "syscall", "github.com/valyala", "github.com/go-logr", "storj.io/drpc",
	"github.com/prometheus", "crypto/rand",
}

// forbiddenCalls are functions that read a clock, wait, or use a global random source.
var forbiddenCalls = []string{
	"time.Now", "time.Since", "time.Until", "time.Sleep", "time.After", "time.AfterFunc", "time.Tick",
	"time.NewTimer", "time.NewTicker", "rand.Int", "rand.IntN", "rand.Float64", "rand.Uint64", "rand.N",
	"rand.Perm", "rand.Shuffle",
}

func TestDecisionPackagesArePure(t *testing.T) {
	is := is.New(t)
	for _, pkg := range decisionPackages {
		violations := 0
		err := filepath.WalkDir(filepath.Join("..", "..", pkg), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			for _, violation := range checkFile(t, path) {
				t.Errorf("%s: %s", path, violation)
				violations++
			}
			return nil
		})
		is.NoErr(err)
		is.Equal(violations, 0)
	}
}

func TestImpureCodeIsDetected(t *testing.T) {
	is := is.New(t)
	violations := checkFile(t, filepath.Join("testdata", "impure.go.txt"))
	is.Equal(violations, []string{"imports os", "calls time.Now", "calls rand.IntN", "starts a goroutine"})
}

func checkFile(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var violations []string
	for _, imp := range file.Imports {
		name, _ := strconv.Unquote(imp.Path.Value)
		if isForbidden(name) {
			violations = append(violations, "imports "+name)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			violations = append(violations, "starts a goroutine")
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && slices.Contains(forbiddenCalls, x.Name+"."+n.Sel.Name) {
				violations = append(violations, "calls "+x.Name+"."+n.Sel.Name)
			}
		}
		return true
	})
	return violations
}

func isForbidden(name string) bool {
	return slices.ContainsFunc(forbiddenImports, func(f string) bool {
		return name == f || strings.HasPrefix(name, f+"/")
	})
}
