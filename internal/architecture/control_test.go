package architecture_test

import (
	"go/ast"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// controlCalls are the functions, by package, that the control thread calls to carry out
// effects.
func controlCalls() map[string][]string {
	caller := []string{"Watch", "Unwatch", "Poll", "Renew", "Acknowledge", "Order", "Withdraw"}
	return map[string][]string{
		"internal/conductor":          {"Perform"},
		"internal/commands/performer": {"Perform"},
		"internal/commands/commander": caller,
		"internal/commands/delegator": caller,
		"internal/commands/admitter":  {"Decide"},
		"internal/commands/recorder":  {"PutWithLeases", "Expire"},
		"internal/launcher":           {"Launch"},
	}
}

// method precedes the names of methods, those of functions have no prefix.
const method = "."

// bodies returns the bodies of the functions and methods of a package, by name. Methods of
// several types with one name are taken together.
func bodies(all []file, folder string) map[string][]file {
	found := map[string][]file{}
	for _, f := range all {
		if isTest(f) || !strings.HasPrefix(f.path, folder+"/") || strings.Contains(strings.TrimPrefix(f.path, folder+"/"), "/") {
			continue
		}
		for _, d := range f.ast.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok && fn.Body != nil {
				name := fn.Name.Name
				if fn.Recv != nil {
					name = method + name
				}
				found[name] = append(found[name], file{f.path, &ast.File{Decls: []ast.Decl{fn}, Name: f.ast.Name}, f.set})
			}
		}
	}
	return found
}

// inspectCalls calls visit with the name of each function that a node calls. Function literals
// are left out, since they are handed to a group or a service that runs them elsewhere.
func inspectCalls(n ast.Node, visit func(name string, at ast.Node)) {
	ast.Inspect(n, func(n ast.Node) bool {
		if _, literal := n.(*ast.FuncLit); literal {
			return false
		}
		if call, ok := n.(*ast.CallExpr); ok {
			switch fn := call.Fun.(type) {
			case *ast.Ident:
				visit(fn.Name, call)
			case *ast.SelectorExpr:
				visit(method+fn.Sel.Name, call)
			}
		}
		return true
	})
}

// Guards against a control thread that waits for itself (review/11, review/13): nothing that
// it calls to carry out effects submits an event, waits for a group or sleeps.
func TestEffectsDoNotWaitForTheControlThread(t *testing.T) {
	all := files(t)
	for folder, first := range controlCalls() {
		functions := bodies(all, folder)
		seen, left := map[string]bool{}, []string{}
		for _, name := range first {
			left = append(left, method+name)
			assert.Assert(t, len(functions[method+name]) > 0, "%s has no method %s", folder, name)
		}
		for len(left) > 0 {
			name := left[0]
			left = left[1:]
			if seen[name] {
				continue
			}
			seen[name] = true
			for _, f := range functions[name] {
				inspectCalls(f.ast, func(called string, at ast.Node) {
					switch called {
					case ".Submit", ".Wait", ".Sleep", ".Await":
						t.Errorf("%v: %s is called by %s on the control thread", f.set.Position(at.Pos()), called, name)
					}
					left = append(left, called)
				})
			}
		}
	}
}

// A group with a limit has its Go wait, which the control thread may call.
func TestGroupsOfTheControlThreadHaveNoLimit(t *testing.T) {
	limits, waits := map[string]bool{}, map[string]bool{}
	for _, f := range files(t) {
		folder := f.path[:max(0, strings.LastIndex(f.path, "/"))]
		if _, ok := controlCalls()[folder]; !ok || isTest(f) {
			continue
		}
		ast.Inspect(f.ast, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				limits[folder] = limits[folder] || s.Sel.Name == "SetLimit"
				waits[folder] = waits[folder] || s.Sel.Name == "Go"
			}
			return true
		})
	}
	for folder := range limits {
		assert.Assert(t, !limits[folder] || !waits[folder], "%s has a group with a limit and calls Go, which waits for it; TryGo doesn't", folder)
	}
}
