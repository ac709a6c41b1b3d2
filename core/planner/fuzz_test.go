package planner

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// FuzzParseSheet guards against sheets that crash the parser, that are accepted
// partially, or that are rejected without a problem and its location.
func FuzzParseSheet(f *testing.F) {
	for _, seed := range []string{
		"", validSheet, headerRow, "\xef\xbb\xbf" + validSheet, strings.ReplaceAll(validSheet, ",", ";"),
		strings.ReplaceAll(validSheet, "\n", "\r\n"), strings.Replace(validSheet, "urgent", `"urgent`, 1),
		"row\n\"\n", "row,row\n,\n", ";\n;", "\x00", "row,service\nbudget,\xff", strings.Repeat(",", 300) + "\nx",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := ParseSheet(data)
		if err == nil {
			checkAcceptedSheet(t, cfg)
			return
		}
		var sheetErr *SheetError
		if !errors.As(err, &sheetErr) || len(sheetErr.Problems) == 0 {
			t.Fatalf("rejected without problems: %v", err)
		}
		for _, problem := range sheetErr.Problems {
			if problem.Message == "" || problem.Row < 0 || problem.Row == 0 && problem.Column != "" {
				t.Errorf("problem without a message or a valid location: %+v", problem)
			}
		}
		if cfg.FailureDomains != nil || cfg.Services != nil || cfg.Teams != nil || cfg.BudgetSlots != 0 {
			t.Errorf("rejected sheet returned %+v", cfg)
		}
	})
}

func checkAcceptedSheet(t *testing.T, cfg Configuration) {
	t.Helper()
	if err := cfg.Validate(); err != nil {
		t.Fatalf("accepted configuration is invalid: %v", err)
	}
	again, err := ParseSheet(WriteSheet(cfg))
	if err != nil {
		t.Fatalf("written sheet is rejected: %v", err)
	}
	if !bytes.Equal(again.Canonical(), cfg.Canonical()) {
		t.Errorf("read back as %s\nwritten as %s", again.Canonical(), cfg.Canonical())
	}
	for _, s := range cfg.Services {
		for _, d := range cfg.FailureDomains {
			if cfg.Share(s.Slots, d) == 0 {
				t.Errorf("failure domain %s has a share of 0", d)
			}
		}
	}
}
