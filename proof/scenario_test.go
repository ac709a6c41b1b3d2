// Package proof runs the scenarios of testdata/scenarios over real processes
// and checks the histories that these write.
package proof

import (
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwitrelay/godwitrelay/proof/conductor"
)

// defaultSeed is the seed in CI. GODWIT_SEED sets another one.
const defaultSeed = 20261204

// deploymentKey finds a script's deployment in its environment.
type deploymentKey struct{}

func TestMain(m *testing.M) {
	flag.Parse()
	// Each scenario has some ten processes; few at once leave the machine to
	// the other tests.
	if f := flag.Lookup("test.parallel"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("3")
	}
	os.Exit(m.Run())
}

// build builds the programs under test once, with the race detector.
func build(t *testing.T) conductor.Programs {
	t.Helper()
	folder := t.TempDir()
	program := func(module string) string {
		path := filepath.Join(folder, "godwit-"+filepath.Base(module))
		out, err := exec.CommandContext(t.Context(), "go", "build", "-race", "-o", path, "../"+module).CombinedOutput()
		if err != nil {
			t.Fatalf("building %s: %v\n%s", module, err, out)
		}
		return path
	}
	return conductor.Programs{
		Entry: program("entry"), Platform: program("standin/platform"), Target: program("standin/target"), Operator: program("operator"),
	}
}

// seed returns the seed of the run.
func seed(t *testing.T) int64 {
	t.Helper()
	text := os.Getenv("GODWIT_SEED")
	if text == "" {
		return defaultSeed
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("GODWIT_SEED: %v", err)
	}
	return n
}

// scenarios returns the scenarios to run: all but those of KNOWN-RED.txt, which
// it prints.
func scenarios(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", "scenarios", "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	red, err := os.ReadFile(filepath.Join("..", "KNOWN-RED.txt"))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(path string) bool {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		known := strings.Contains(string(red)+"\n", "test: TestScenarios/"+name+"\n")
		if known && os.Getenv("GODWIT_KNOWN_RED") == "" {
			fmt.Printf("known red, not run: TestScenarios/%s\n", name)
			return true
		}
		return false
	})
}

// TestScenarios guards against a violation of a safety point while processes
// die, pause, lose messages, race and are replaced.
func TestScenarios(t *testing.T) {
	programs, seed := build(t), seed(t)
	root := filepath.Join(os.TempDir(), "godwit-proof")
	if err := os.MkdirAll(root, 0o700); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Files: scenarios(t),
		Setup: func(env *testscript.Env) error {
			script := env.T().(interface {
				Failed() bool
				Name() string
			})
			folder, err := os.MkdirTemp(root, filepath.Base(script.Name())+"-")
			if err != nil {
				return err
			}
			d := conductor.New(programs, folder, seed)
			env.Values[deploymentKey{}] = d
			env.Defer(func() {
				d.Close()
				if script.Failed() {
					env.T().Log("seed", seed, "histories and logs kept in", folder)
					return
				}
				_ = os.RemoveAll(folder)
			})
			return nil
		},
		Cmds: conductor.Commands(func(ts *testscript.TestScript) *conductor.Deployment {
			return ts.Value(deploymentKey{}).(*conductor.Deployment)
		}),
	})
}
