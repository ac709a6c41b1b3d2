package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFlagsOverSettings guards against flags that are ignored, do not override
// the settings file, or are not validated together with it.
func TestFlagsOverSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "run.json")
	if err := os.WriteFile(path, []byte(`{"mix": "wrong", "loadPercent": 50, /* comment */ "rounds": -1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	err := newCommand(&out).Run(t.Context(), []string{"godwit-load", "run", "--settings", path, "--load", "-7", "--mix", "namta", "--mode", "direct"})
	if err == nil {
		t.Fatal("no error was reported")
	}
	for _, want := range []string{"loadPercent is -7", "rounds is -1", "targets is 0"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error does not contain %q: %v", want, err)
		}
	}
	if strings.Contains(err.Error(), "mix is") {
		t.Errorf("the flag did not override the mix in the file: %v", err)
	}
}

// TestHelp guards against commands without usage or help text.
func TestHelp(t *testing.T) {
	for _, command := range newCommand(nil).Commands {
		var out bytes.Buffer
		if err := newCommand(&out).Run(t.Context(), []string{"godwit-load", command.Name, "--help"}); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(out.String(), "OPTIONS") || command.Usage == "" {
			t.Errorf("help of %s: %s", command.Name, out.String())
		}
	}
}
