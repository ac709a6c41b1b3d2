// Package proof runs the scenarios in testdata/scenarios on real processes and
// checks the histories that the processes write.
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

// defaultSeed is the seed used in CI. GODWIT_SEED overrides it.
const defaultSeed = 20261204

// deploymentKey is the key of a script's deployment in its environment.
type deploymentKey struct{}

func TestMain(m *testing.M) {
	flag.Parse()
	// Each scenario runs about ten processes. Running only a few scenarios in
	// parallel leaves CPU time for other tests.
	if f := flag.Lookup("test.parallel"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("3")
	}
	os.Exit(m.Run())
}

// buildPrograms builds the programs under test with the race detector.
func buildPrograms(t *testing.T) conductor.Programs {
	t.Helper()
	dir := t.TempDir()
	program := func(module string) string {
		path := filepath.Join(dir, "godwit-"+filepath.Base(module))
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

// seedFromEnv returns the seed set in GODWIT_SEED, or defaultSeed.
func seedFromEnv(t *testing.T) int64 {
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

// scenarios returns the scenario files to run. It prints and skips the scenarios
// listed in KNOWN-RED.txt, unless GODWIT_KNOWN_RED is set.
func scenarios(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", "scenarios", "*.txtar"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenario files found: %v", err)
	}
	knownRed, err := os.ReadFile(filepath.Join("..", "KNOWN-RED.txt"))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(path string) bool {
		name := strings.TrimSuffix(filepath.Base(path), ".txtar")
		known := strings.Contains(string(knownRed)+"\n", "test: TestScenarios/"+name+"\n")
		if known && os.Getenv("GODWIT_KNOWN_RED") == "" {
			fmt.Printf("known red, not run: TestScenarios/%s\n", name)
			return true
		}
		return false
	})
}

// TestScenarios guards against violations of the safety properties while processes
// crash, freeze, lose messages, race and are replaced.
func TestScenarios(t *testing.T) {
	programs, seed := buildPrograms(t), seedFromEnv(t)
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
			dir, err := os.MkdirTemp(root, filepath.Base(script.Name())+"-")
			if err != nil {
				return err
			}
			d := conductor.New(programs, dir, seed)
			env.Values[deploymentKey{}] = d
			env.Defer(func() {
				d.Close()
				if script.Failed() {
					env.T().Log("seed", seed, "histories and logs saved in", dir)
					return
				}
				_ = os.RemoveAll(dir)
			})
			return nil
		},
		Cmds: conductor.Commands(func(ts *testscript.TestScript) *conductor.Deployment {
			return ts.Value(deploymentKey{}).(*conductor.Deployment)
		}),
	})
}
