package loader

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// sample has one field for each kind of check.
type sample struct {
	Address string           `json:"address"`
	Name    string           `json:"name"`
	WaitMs  int64            `json:"waitMs"`
	Routing string           `json:"routing"`
	Limits  map[string]int64 `json:"limits,omitempty"`
}

func (s *sample) Check(f *Faults) {
	f.Address("address", s.Address)
	f.Name("name", s.Name)
	f.Range("waitMs", &s.WaitMs, 50, 10, 100)
	f.OneOf("routing", &s.Routing, "broker", "random")
}

const good = `{
	// where to listen
	"address": "127.0.0.1:7000",
	"name": "kalimati", /* trailing commas are allowed */
}`

// TestParse guards against faults that are reported one at a time or without
// the field's name, and against settings that are taken over in part.
func TestParse(t *testing.T) {
	var s sample
	if err := Parse("test", []byte(good), &s); err != nil {
		t.Fatal(err)
	}
	if want := (sample{Address: "127.0.0.1:7000", Name: "kalimati", WaitMs: 50, Routing: "broker"}); !reflect.DeepEqual(s, want) {
		t.Errorf("got %+v, want %+v", s, want)
	}
	cases := map[string][]string{
		`{"address":"here","name":"a b","waitMs":5,"routing":"x"}`: {
			"settings test", "4 faults", `address is "here"; allowed: an IP number and a port`, `name is "a b"`,
			"waitMs is 5; allowed: 10 to 100", `routing is "x"; allowed: broker, random`,
		},
		`{"address":"127.0.0.1:1","name":"a","waitms2":5}`: {"settings test", `unknown field "waitms2"`},
		`{"address":"127.0.0.1:1","name":"a","waitMs":"5"}`: {
			"settings test", `field "waitMs" at byte`, "expected int64, got string",
		},
		`{"address":`:         {"settings test"},
		`{"name":"` + "\n\"}": {"settings test"},
		``:                    {"settings test"},
	}
	for text, parts := range cases {
		before := sample{Name: "before", Limits: map[string]int64{"a": 1}}
		s := sample{Name: "before", Limits: map[string]int64{"a": 1}}
		err := Parse("test", []byte(text), &s)
		if err == nil {
			t.Errorf("%s is accepted", text)
			continue
		}
		for _, part := range parts {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%s: no %q in: %v", text, part, err)
			}
		}
		if !reflect.DeepEqual(s, before) {
			t.Errorf("%s: refused, but taken over: %+v", text, s)
		}
	}
}

// TestLoad guards against a missing file that gives default settings.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := Load(path, new(sample)); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("missing file: %v", err)
	}
	if err := os.WriteFile(path, []byte(good), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Load(path, new(sample)); err != nil {
		t.Error(err)
	}
}

// FuzzParse guards against settings that crash the loader, that are taken over
// in part, or that are refused without the file's name.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{good, "", "{}", "null", "[]", "{", `{"name":1}`, "// x", "/*", `{"limits":{"a":1e99}}`, "{\"a\":\"\xff\"}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		err := Parse("test", data, &s)
		if err != nil {
			if !strings.Contains(err.Error(), "settings test") {
				t.Errorf("no file name in: %v", err)
			}
			if !reflect.DeepEqual(s, sample{}) {
				t.Errorf("refused, but taken over: %+v", s)
			}
			return
		}
		var faults Faults
		if s.Check(&faults); faults.Err() != nil {
			t.Errorf("accepted with faults: %v", faults.Err())
		}
	})
}
