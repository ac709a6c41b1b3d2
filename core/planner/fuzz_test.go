package planner

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// FuzzParseSheet guards against a sheet that crashes the parser, that is
// accepted in part, or that is refused without a place.
func FuzzParseSheet(f *testing.F) {
	for _, seed := range []string{
		"", small, header, "\xef\xbb\xbf" + small, strings.ReplaceAll(small, ",", ";"),
		strings.ReplaceAll(small, "\n", "\r\n"), strings.Replace(small, "urgent", `"urgent`, 1),
		"row\n\"\n", "row,row\n,\n", ";\n;", "\x00", "row,service\nbudget,\xff", strings.Repeat(",", 300) + "\nx",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := ParseSheet(data)
		if err == nil {
			checkAccepted(t, cfg)
			return
		}
		var faults *SheetError
		if !errors.As(err, &faults) || len(faults.Faults) == 0 {
			t.Fatalf("refused without faults: %v", err)
		}
		for _, fault := range faults.Faults {
			if fault.Message == "" || fault.Row < 0 || fault.Row == 0 && fault.Column != "" {
				t.Errorf("a fault without a place: %+v", fault)
			}
		}
		if cfg.FailureDomains != nil || cfg.Services != nil || cfg.Teams != nil || cfg.BudgetSlots != 0 {
			t.Errorf("a refused sheet gave %+v", cfg)
		}
	})
}

func checkAccepted(t *testing.T, cfg Configuration) {
	t.Helper()
	if err := cfg.Sound(); err != nil {
		t.Fatalf("accepted, but not sound: %v", err)
	}
	again, err := ParseSheet(WriteSheet(cfg))
	if err != nil {
		t.Fatalf("the written sheet is refused: %v", err)
	}
	if !bytes.Equal(again.Canonical(), cfg.Canonical()) {
		t.Errorf("read back as %s\nwritten as %s", again.Canonical(), cfg.Canonical())
	}
	for _, s := range cfg.Services {
		for _, d := range cfg.FailureDomains {
			if cfg.Share(s.Slots, d) == 0 {
				t.Errorf("the failure domain %s has a share of 0", d)
			}
		}
	}
}
