package messenger

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"
)

// declaredKinds returns the values of the constants of type Kind.
func declaredKinds(t *testing.T) []Kind {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "kind.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var list []Kind
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); !ok || name.Name != "Kind" {
			return true
		}
		for _, value := range spec.Values {
			text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			list = append(list, Kind(text))
		}
		return true
	})
	return list
}

// TestKindTable guards against a kind without an answer of its own, which
// callers would see as an internal error that may have run.
func TestKindTable(t *testing.T) {
	declared := declaredKinds(t)
	if len(declared) < 20 || len(declared) != len(Kinds()) {
		t.Errorf("%d kinds are declared, the table has %d", len(declared), len(Kinds()))
	}
	for _, k := range declared {
		info, ok := kinds[k]
		if !ok {
			t.Errorf("%s has no row", k)
			continue
		}
		if info.Status < 400 || info.Status > 599 || info.Message == "" {
			t.Errorf("%s: status %d, message %q", k, info.Status, info.Message)
		}
		if info.Ran != DidNotRun && info.Ran != MayHaveRun && info.Ran != JobDecides {
			t.Errorf("%s: ran is %q", k, info.Ran)
		}
		if e := NewError(k, ""); e.Ran == JobDecides || e.SafeToResubmit != (e.Ran == DidNotRun) {
			t.Errorf("%s: a new error has %+v", k, e)
		}
	}
}
