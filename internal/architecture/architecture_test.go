package architecture_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const root = "../.."

// file is a parsed source file with its path relative to root.
type file struct {
	path string
	ast  *ast.File
	set  *token.FileSet
}

// files returns all Go files of the repository, tests included.
func files(t *testing.T) []file {
	t.Helper()
	var all []file
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		set := token.NewFileSet()
		parsed, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		all = append(all, file{strings.TrimPrefix(filepath.ToSlash(path), root+"/"), parsed, set})
		return err
	})
	assert.NilError(t, err)
	assert.Assert(t, len(all) > 50)
	return all
}

func imports(f file) []string {
	var paths []string
	for _, i := range f.ast.Imports {
		paths = append(paths, strings.Trim(i.Path.Value, `"`))
	}
	return paths
}

func isTest(f file) bool { return strings.HasSuffix(f.path, "_test.go") }

// Commands and queries must not import each other, and queries must not import the
// controller.
func TestCommandsAndQueriesAreApart(t *testing.T) {
	for _, f := range files(t) {
		for _, path := range imports(f) {
			if strings.HasPrefix(f.path, "internal/queries/") {
				assert.Assert(t, !strings.Contains(path, "internal/commands"), "%s imports %s", f.path, path)
				assert.Assert(t, !strings.HasSuffix(path, "internal/controller"), "%s reaches the control thread", f.path)
			}
			if strings.HasPrefix(f.path, "internal/commands/") {
				assert.Assert(t, !strings.Contains(path, "internal/queries"), "%s imports %s", f.path, path)
			}
		}
	}
}

// The core only makes decisions: its packages must not do input or output, read the
// clock, sleep or start goroutines.
func TestCoreIsPure(t *testing.T) {
	core := regexp.MustCompile(`^internal/(scheduler|container|ledger|leader|placer|rationer|router|authenticator|bookkeeper|sharer|estimator|waiter|queries/checker)/`)
	allowed := regexp.MustCompile(`^(cmp|container/heap|crypto/sha256|fmt|iter|maps|slices|strconv|strings|time|github.com/benbjohnson/immutable|github.com/cespare/xxhash/v2|github.com/endivelock/endivelock/internal/(container|ledger|placer|rationer|router|bookkeeper|sharer|estimator|waiter))$`)
	for _, f := range files(t) {
		if !core.MatchString(f.path) || isTest(f) {
			continue
		}
		for _, path := range imports(f) {
			assert.Assert(t, allowed.MatchString(path), "%s imports %s", f.path, path)
		}
		ast.Inspect(f.ast, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			x, ok := s.X.(*ast.Ident)
			clock := ok && x.Name == "time" && (s.Sel.Name == "Now" || s.Sel.Name == "Since" || s.Sel.Name == "Until" || s.Sel.Name == "Sleep")
			assert.Assert(t, !clock, "%v reads the clock", f.set.Position(n.Pos()))
			return true
		})
	}
}

func TestGoroutinesStartThroughAGroup(t *testing.T) {
	for _, f := range files(t) {
		ast.Inspect(f.ast, func(n ast.Node) bool {
			if _, bare := n.(*ast.GoStmt); bare {
				t.Errorf("%v has a bare go statement", f.set.Position(n.Pos()))
			}
			return true
		})
	}
}

func TestTestsAreExternal(t *testing.T) {
	for _, f := range files(t) {
		if isTest(f) {
			assert.Assert(t, strings.HasSuffix(f.ast.Name.Name, "_test"), "%s is in package %s", f.path, f.ast.Name.Name)
		}
	}
}

func TestPackageNamesAreAgentNouns(t *testing.T) {
	agent := regexp.MustCompile(`(er|or)$`)
	for _, f := range files(t) {
		name := f.ast.Name.Name
		if name == "main" || isTest(f) {
			continue
		}
		assert.Assert(t, agent.MatchString(name), "%s is in package %s", f.path, name)
	}
}

func TestNoMutablePackageState(t *testing.T) {
	for _, f := range files(t) {
		if isTest(f) || strings.HasPrefix(f.path, "cmd/") {
			continue
		}
		for _, d := range f.ast.Decls {
			g, ok := d.(*ast.GenDecl)
			if !ok || g.Tok != token.VAR {
				continue
			}
			for _, spec := range g.Specs {
				v := spec.(*ast.ValueSpec)
				name := v.Names[0].Name
				assert.Assert(t, name == "_" || strings.HasPrefix(name, "Err") || strings.HasPrefix(name, "err"), "%s has package variable %s", f.path, name)
			}
		}
	}
}
