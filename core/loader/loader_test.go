package loader

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// sampleSettings has one field for each kind of check, and a map.
type sampleSettings struct {
	Address string           `json:"address"`
	Name    string           `json:"name"`
	WaitMs  int64            `json:"waitMs"`
	Routing string           `json:"routing"`
	Limits  map[string]int64 `json:"limits,omitempty"`
}

func (s *sampleSettings) Check(f *Problems) {
	f.CheckAddress("address", s.Address)
	f.CheckName("name", s.Name)
	f.CheckRange("waitMs", &s.WaitMs, 50, 10, 100)
	f.CheckOneOf("routing", &s.Routing, "broker", "random")
}

const validSettings = `{
	// where to listen
	"address": "127.0.0.1:7000",
	"name": "kalimati", /* trailing commas are allowed */
}`

// TestParse guards against errors that report only the first problem or omit the
// field name, and against rejected files that change the settings.
func TestParse(t *testing.T) {
	var s sampleSettings
	if err := Parse("test", []byte(validSettings), &s); err != nil {
		t.Fatal(err)
	}
	if want := (sampleSettings{Address: "127.0.0.1:7000", Name: "kalimati", WaitMs: 50, Routing: "broker"}); !reflect.DeepEqual(s, want) {
		t.Errorf("got %+v, want %+v", s, want)
	}
	cases := map[string][]string{
		`{"address":"here","name":"a b","waitMs":5,"routing":"x"}`: {
			"settings test", "4 faults", `address is "here"; allowed: an IP address and a port`,
			`name is "a b"; allowed: 1 to 64 characters from A-Z, a-z, 0-9, '.', '-' and '_'`,
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
		before := sampleSettings{Name: "before", Limits: map[string]int64{"a": 1}}
		s := sampleSettings{Name: "before", Limits: map[string]int64{"a": 1}}
		err := Parse("test", []byte(text), &s)
		if err == nil {
			t.Errorf("%s: got no error", text)
			continue
		}
		for _, part := range parts {
			if !strings.Contains(err.Error(), part) {
				t.Errorf("%s: %q is missing from the error: %v", text, part, err)
			}
		}
		if !reflect.DeepEqual(s, before) {
			t.Errorf("%s: rejected, but settings changed to %+v", text, s)
		}
	}
}

// TestLoad guards against loading default settings when the file is missing.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := Load(path, new(sampleSettings)); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("missing file: %v", err)
	}
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Load(path, new(sampleSettings)); err != nil {
		t.Error(err)
	}
}

// FuzzParse guards against input that crashes the loader, that changes the
// settings although it is rejected, or whose error omits the file name.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{validSettings, "", "{}", "null", "[]", "{", `{"name":1}`, "// x", "/*", `{"limits":{"a":1e99}}`, "{\"a\":\"\xff\"}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sampleSettings
		err := Parse("test", data, &s)
		if err != nil {
			if !strings.Contains(err.Error(), "settings test") {
				t.Errorf("file name is missing from the error: %v", err)
			}
			if !reflect.DeepEqual(s, sampleSettings{}) {
				t.Errorf("rejected, but settings changed to %+v", s)
			}
			return
		}
		var problems Problems
		if s.Check(&problems); problems.Err() != nil {
			t.Errorf("accepted settings have problems: %v", problems.Err())
		}
	})
}
