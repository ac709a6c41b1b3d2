package messenger

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"
)

// declaredKinds returns the values of all constants of type ErrorKind in kind.go.
func declaredKinds(t *testing.T) []ErrorKind {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "kind.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var list []ErrorKind
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "ErrorKind" {
			return true
		}
		for _, value := range spec.Values {
			text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, ErrorKind(text))
		}
		return true
	})
	return list
}

// TestKindTable guards against a kind that is missing from infoByKind, which
// would be reported to callers as an internal error whose work may have run.
func TestKindTable(t *testing.T) {
	declared := declaredKinds(t)
	if len(declared) < 20 || len(declared) != len(ErrorKinds()) {
		t.Errorf("%d kinds are declared, but infoByKind has %d", len(declared), len(ErrorKinds()))
	}
	for _, k := range declared {
		info, ok := infoByKind[k]
		if !ok {
			t.Errorf("%s is missing from infoByKind", k)
			continue
		}
		if info.Status < 400 || info.Status > 599 || info.Message == "" {
			t.Errorf("%s: status %d, message %q", k, info.Status, info.Message)
		}
		if info.Ran != DidNotRun && info.Ran != MayHaveRun && info.Ran != JobDecides {
			t.Errorf("%s: ran is %q", k, info.Ran)
		}
		if e := NewError(k, ""); e.Ran == JobDecides || e.SafeToResubmit != (e.Ran == DidNotRun) {
			t.Errorf("%s: NewError returned %+v", k, e)
		}
	}
}
