package planner

import (
	"bytes"
	"fmt"
	"math/rand"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const headerRow = "row,service,name,priority,slots,idempotent,maxRunMs,allowance\n"

const validSheet = headerRow + `budget,,,,12,,,
domain,,a,,,,,
domain,,b,,,,,
service,s,,,10,,,500
request,s,r,urgent,,yes,1000,
team,,t,,4,,,
`

func mustParse(t *testing.T, sheet string) Configuration {
	t.Helper()
	cfg, err := ParseSheet([]byte(sheet))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// TestShortFirstRow guards against a sheet that is accepted as empty because its
// first row is too short to have a cell in the column "row".
func TestShortFirstRow(t *testing.T) {
	cfg, err := ParseSheet([]byte("slots,service,name,priority,idempotent,maxRunMs,allowance,row\n12,s\n"))
	if err == nil {
		t.Errorf("the sheet was accepted as %+v", cfg)
	}
}

// TestEquivalentSheets guards against different configurations from the same sheet
// as exported by different programs.
func TestEquivalentSheets(t *testing.T) {
	want := mustParse(t, validSheet).Canonical()
	variants := map[string]string{
		"byte order mark":     "\xef\xbb\xbf" + validSheet,
		"carriage returns":    strings.ReplaceAll(validSheet, "\n", "\r\n"),
		"semicolons":          strings.ReplaceAll(validSheet, ",", ";"),
		"quoted cells":        strings.ReplaceAll(strings.ReplaceAll(validSheet, "domain", `"domain"`), "1000", `"1000"`),
		"blank rows":          "\n" + strings.ReplaceAll(validSheet, "\n", "\n,,,,,,,\n\n"),
		"no line feed at end": strings.TrimSuffix(validSheet, "\n"),
		"trailing cells":      strings.ReplaceAll(validSheet, "\n", ",,,\n"),
		"spaces around":       strings.ReplaceAll(validSheet, "urgent", " urgent\t"),
		"capitals":            strings.ReplaceAll(strings.ReplaceAll(validSheet, "urgent", "Urgent"), "yes", "YES"),
		"short rows":          strings.ReplaceAll(validSheet, "b,,,,,", "b"),
		"other order":         headerRow + "team,,t,,4,,,\nrequest,s,r,urgent,,yes,1000,\nservice,s,,,10,,,500\ndomain,,b,,,,,\ndomain,,a,,,,,\nbudget,,,,12,,,\n",
		"other column order":  "name,row,slots,service,priority,idempotent,allowance,maxRunMs\n,budget,12\na,domain\nb,domain\n,service,10,s,,,500\nr,request,,s,urgent,yes,,1000\nt,team,4\n",
		"row column last":     "slots,service,name,priority,idempotent,maxRunMs,allowance,row\n,,\n,,a,,,,,domain\n,,b,,,,,domain\n12,,,,,,,budget\n10,s,,,,,500,service\n,s,r,urgent,yes,1000,,request\n4,,t,,,,,team\n",
	}
	for name, sheet := range variants {
		t.Run(name, func(t *testing.T) {
			if got := mustParse(t, sheet).Canonical(); !bytes.Equal(got, want) {
				t.Errorf("got %s\nwant %s", got, want)
			}
		})
	}
	if got := mustParse(t, validSheet).Services["s"].AllowanceSlotSeconds; got != 500 {
		t.Errorf("got allowance %d, want 500", got)
	}
}

// TestSheetFaults guards against accepting invalid sheets, whose problems would then
// affect the targets. Each case introduces one problem and gives the expected
// location and part of the message.
func TestSheetFaults(t *testing.T) {
	edit := func(from, to string) string { return strings.Replace(validSheet, from, to, 1) }
	cases := []struct{ name, sheet, want string }{
		{"empty", "", "sheet: there is no header row"},
		{"header alone", headerRow, "sheet: there is no budget row"},
		{"no budget", edit("budget,,,,12,,,\n", ""), "sheet: there is no budget row"},
		{"no domain", edit("domain,,a,,,,,\ndomain,,b,,,,,\n", ""), "sheet: there is no domain row"},
		{"no team", edit("team,,t,,4,,,\n", ""), "sheet: there is no team row"},
		{"over budget", edit("budget,,,,12", "budget,,,,9"), "row 2, column slots: the services have 10 slots in total, but the budget is 9"},
		{"unknown service", edit("request,s,r", "request,x,r"), `row 6, column service: there is no service row for "x"`},
		{"no request", edit("request,s,r,urgent,,yes,1000,\n", ""), `row 5, column service: the service "s" has no request row`},
		{"duplicate domain", edit("domain,,b", "domain,,a"), "row 4, column name: the domain a is already defined in row 3"},
		{"duplicate budget", validSheet + "budget,,,,12,,,\n", "row 8, column slots: the budget is already defined in row 2"},
		{"duplicate request", validSheet + "request,s,r,bulk,,no,1,\n", `row 8, column name: the request "r" of service "s" is already defined in row 6`},
		{"capital letters", validSheet + "team,,T,,4,,,\n", `row 8, column name: "T" differs from "t" in row 7 only in case`},
		{"negative", edit(",10,", ",-10,"), `row 5, column slots: "-10" is not allowed`},
		{"fraction", edit(",10,", ",1.5,"), `row 5, column slots: "1.5" is not allowed`},
		{"plus sign", edit(",10,", ",+10,"), `row 5, column slots: "+10" is not allowed`},
		{"thousands", edit(",10,", `,"1,000",`), `row 5, column slots: "1,000" is not allowed`},
		{"space", edit(",10,", ",1 0,"), `row 5, column slots: "1 0" is not allowed`},
		{"exponent", edit(",10,", ",1e1,"), `row 5, column slots: "1e1" is not allowed`},
		{"too large", edit(",10,", ",99999999999999999999,"), "row 5, column slots:"},
		{"zero allowance", edit("500", "0"), `row 5, column allowance: "0" is not allowed`},
		{"empty number", edit("yes,1000", "yes,"), "row 6, column maxRunMs: an empty cell is not allowed"},
		{"priority", edit("urgent", "high"), `row 6, column priority: "high" is not allowed; allowed: urgent, bulk`},
		{"idempotent", edit("yes", "maybe"), `row 6, column idempotent: "maybe" is not allowed; allowed: yes, no`},
		{"odd name", edit("team,,t", "team,,t~"), `row 7, column name: "t~" is not a valid name; allowed: 1 to 64 characters from A-Z, a-z, 0-9, dot, dash and underscore`},
		{"no name", edit("team,,t", "team,,"), "row 7, column name: an empty cell is not a valid name"},
		{"long name", edit("team,,t", "team,,"+strings.Repeat("t", 65)), "row 7, column name:"},
		{"letters of another script", edit("domain,,a", "domain,,а"), "row 3, column name:"},
		{"unused column", edit("domain,,a,,", "domain,,a,,7"), `row 3, column slots: the column must be empty in a domain row, but holds "7"`},
		{"row kind", edit("team", "group"), `row 7, column row: "group" is not a kind of row`},
		{"unknown column", edit("allowance", "allowence"), `row 1: unknown column "allowence"`},
		{"missing column", strings.ReplaceAll(validSheet, ",allowance", ""), "row 1, column allowance: the column is missing"},
		{"duplicate column", edit("allowance", "slots"), "row 1, column slots: the column is duplicated"},
		{"cell without a column", edit("domain,,a,,,,,", "domain,,a,,,,,,9"), `row 3, column 9: the value "9" is in a column whose header is missing or duplicated`},
		{"share of a service", edit(",10,", ",1,"), "row 5, column slots: 1 slots are too few for 2 failure domains; each needs at least one"},
		{"share of a team", edit("t,,4", "t,,1"), "row 7, column slots: 1 slots are too few for 2 failure domains; each needs at least one"},
		{"team over budget", edit("t,,4", "t,,13"), `row 7, column slots: the team "t" has 13 slots, but the budget is 12`},
		{"quotes", edit("urgent", `ur"gent`), "row 6: malformed quotes in a cell"},
		{"not UTF-8", edit("team,,t", "team,,\xe9"), "row 7: the row is not valid UTF-8"},
		{"UTF-16", "\xff\xfer\x00", "sheet: the file is in UTF-16"},
		{"bare carriage returns", strings.ReplaceAll(validSheet, "\n", "\r"), "sheet: rows end with bare carriage returns"},
		{"too long", validSheet + strings.Repeat("\n", MaxSheetBytes), "sheet: the file is 1048749 bytes long; the limit is 1048576"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg, err := ParseSheet([]byte(c.sheet))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v\nwant %s", err, c.want)
			}
			if cfg.BudgetSlots != 0 || cfg.Services != nil || cfg.Teams != nil || cfg.FailureDomains != nil {
				t.Errorf("rejected sheet returned %+v", cfg)
			}
		})
	}
}

// TestSheetReportsAllFaults guards against errors that report only the first
// problem, so that operators have to correct a sheet one problem at a time.
func TestSheetReportsAllFaults(t *testing.T) {
	sheet := headerRow + "budget,,,,x,,,\ndomain,,a b,,,,,\nservice,s,,,-1,,,\n" +
		"request,u,r,quick,,perhaps,2.5,\nrequest,s,q,quick,,perhaps,2.5,\n"
	_, err := ParseSheet([]byte(sheet))
	var sheetErr *SheetError
	if !errors.As(err, &sheetErr) {
		t.Fatalf("got error %v, want a SheetError", err)
	}
	got := make(map[string]bool)
	for _, f := range sheetErr.Problems {
		got[fmt.Sprintf("%d %s", f.Row, f.Column)] = true
	}
	for _, want := range []string{
		"0 ", "2 slots", "3 name", "4 slots", "5 priority", "5 idempotent", "5 maxRunMs",
		"5 service", "6 priority", "6 idempotent", "6 maxRunMs",
	} {
		if !got[want] {
			t.Errorf("no problem at %q in the error:\n%v", want, err)
		}
	}
}

// TestExampleSheets guards against example sheets that ParseSheet rejects.
func TestExampleSheets(t *testing.T) {
	for _, user := range []string{"smokehouse", "namta"} {
		data, err := os.ReadFile("../../examples/" + user + "/sheet.csv")
		if err != nil {
			t.Fatal(err)
		}
		cfg := mustParse(t, string(data))
		if cfg.BudgetSlots != 400 || len(cfg.Services) != 1 {
			t.Errorf("%s: unexpected configuration %+v", user, cfg)
		}
	}
}

func randomConfiguration(rng *rand.Rand) Configuration {
	const letters = "abcxyzABC019.-_"
	names := func(n int) []string {
		seen := make(map[string]bool)
		for len(seen) < n {
			b := make([]byte, 1+rng.Intn(8))
			for i := range b {
				b[i] = letters[rng.Intn(len(letters))]
			}
			seen[strings.ToLower(string(b))] = true
		}
		return sortedKeys(seen)
	}
	cfg := Configuration{FailureDomains: names(1 + rng.Intn(5)), Services: make(map[string]Service), Teams: make(map[string]Team)}
	for _, name := range names(1 + rng.Intn(4)) {
		s := Service{Slots: 5 + rng.Intn(1000), AllowanceSlotSeconds: rng.Int63n(3) * rng.Int63n(1e9), RequestTypes: make(map[string]RequestType)}
		for _, r := range names(1 + rng.Intn(4)) {
			priority := []messenger.Priority{messenger.Urgent, messenger.Bulk}[rng.Intn(2)]
			s.RequestTypes[r] = RequestType{Priority: priority, Idempotent: rng.Intn(2) == 0, MaxRunMs: 1 + rng.Int63n(10000)}
		}
		cfg.Services[name] = s
		cfg.BudgetSlots += s.Slots
	}
	for _, name := range names(1 + rng.Intn(6)) {
		cfg.Teams[name] = Team{Slots: 5 + rng.Intn(cfg.BudgetSlots-4)}
	}
	return cfg
}

// TestSheetRoundTrip guards against columns that are lost when a sheet is written
// and parsed, and against differences that Diff does not report.
func TestSheetRoundTrip(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(7)
	params.MinSuccessfulTests = 500
	properties := gopter.NewProperties(params)
	properties.Property("a written sheet parses to the same configuration", prop.ForAll(func(seed int64) (bool, error) {
		cfg := randomConfiguration(rand.New(rand.NewSource(seed)))
		got, err := ParseSheet(WriteSheet(cfg))
		if err != nil {
			return false, err
		}
		if !bytes.Equal(got.Canonical(), cfg.Canonical()) || len(Diff(cfg, got)) > 0 {
			return false, fmt.Errorf("got %s", got.Canonical())
		}
		return true, cfg.Validate()
	}, gen.Int64()))
	properties.Property("Diff reports every difference", prop.ForAll(func(a, b int64) bool {
		from := randomConfiguration(rand.New(rand.NewSource(a)))
		to := randomConfiguration(rand.New(rand.NewSource(b)))
		same := bytes.Equal(from.Canonical(), to.Canonical())
		return same == (len(Diff(from, to)) == 0)
	}, gen.Int64(), gen.Int64()))
	properties.TestingRun(t)
}

// TestDiff guards against diff lines in a different format or order.
func TestDiff(t *testing.T) {
	to := strings.NewReplacer(
		"budget,,,,12", "budget,,,,20", "domain,,b", "domain,,c", "10,,,500", "11,,,",
		"urgent,,yes,1000", "bulk,,no,2000", "team,,t,,4", "team,,u,,5").Replace(validSheet)
	got := strings.Join(Diff(mustParse(t, validSheet), mustParse(t, to)), "\n")
	want := `budget: slots 12 -> 20
domain b: removed
domain c: added
service s: slots 10 -> 11
service s: allowance 500 -> none
service s, request r: priority urgent -> bulk
service s, request r: idempotent yes -> no
service s, request r: maxRunMs 1000 -> 2000
team t: removed
team u: added (slots 5)`
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
